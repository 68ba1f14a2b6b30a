//! The border of one capacity measurement.

use crate::process::bench::{BenchCx, BenchError};

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub x: f64,
    /// The value.
    pub y: f64,
}

/// What one value of a probe says.
#[derive(Clone, Debug, PartialEq)]
pub struct Quantity {
    /// The role, such as `entry`.
    pub role: &'static str,
    /// What is measured.
    pub name: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// What the size counts, such as `upstreams`.
    pub size_unit: &'static str,
    /// The size at the target.
    pub target_size: f64,
    /// The largest value that the target allows, in the unit of the value.
    pub bound: Option<f64>,
    /// The module of the mechanism that carries it.
    pub mechanism: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
}

/// Measures one or more quantities at several sizes.
pub trait Probe {
    /// Measures.
    ///
    /// # Errors
    /// [`BenchError`] when the measurement did not come about.
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError>;
}
