//! The interface of the capacity measurements.

use crate::process::bench::{BenchCx, BenchError};

/// A value that was measured at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The value.
    pub y: f64,
}

/// A quantity that a probe measured at several sizes, with its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Quantity {
    /// The role, such as `entry`.
    pub role: &'static str,
    /// The name of the quantity.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// The items that the size counts, such as `upstreams`.
    pub size_unit: &'static str,
    /// The target size.
    pub target_size: f64,
    /// The largest value that is allowed at the target size, in the unit of the values.
    pub bound: Option<f64>,
    /// The path of the module or type that causes the cost.
    pub mechanism: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
}

/// Measures one or more quantities at several sizes.
pub trait Probe {
    /// Runs the measurements and returns their quantities.
    ///
    /// # Errors
    /// [`BenchError`] when a measurement cannot be carried out.
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError>;
}
