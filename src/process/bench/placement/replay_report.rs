//! What a replay measures.

use {
    crate::{
        prelude::*,
        request::{FleetView, Fragmentation, ShapeMix},
        version::Shape,
    },
    std::collections::BTreeMap,
};

/// The span of one point of the course over time.
pub(super) const SLICE_MS: u64 = 6 * 3_600_000;

/// Time sums of one span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleSums {
    /// The span, in seconds.
    pub duration_s: f64,
    /// Idle accelerators, times seconds.
    pub idle_accelerator_s: f64,
    /// Idle accelerators that the mix cannot use, times seconds.
    pub unusable_accelerator_s: f64,
    /// Seconds in which the largest near shape of the mix finds room.
    pub large_shape_fits_s: f64,
}

/// What was idle over time, and how much of it was of no use.
#[derive(Clone, Debug, Default)]
pub struct FragmentationReport {
    /// The whole time.
    pub total: IdleSums,
    /// The time in slices.
    pub slices: BTreeMap<u64, IdleSums>,
}

impl IdleSums {
    /// Returns the mean number of idle accelerators.
    pub fn mean_idle(&self) -> f64 {
        self.idle_accelerator_s / self.duration_s
    }

    /// Returns the mean number of unusable idle accelerators.
    pub fn mean_unusable(&self) -> f64 {
        self.unusable_accelerator_s / self.duration_s
    }

    /// Returns the part of the idle accelerators that is unusable.
    pub fn unusable_fraction(&self) -> f64 {
        if self.idle_accelerator_s > 0.0 {
            self.unusable_accelerator_s / self.idle_accelerator_s
        } else {
            0.0
        }
    }

    /// Returns the part of the time in which the largest near shape finds room.
    pub fn large_shape_fits_fraction(&self) -> f64 {
        self.large_shape_fits_s / self.duration_s
    }

    fn add(
        &mut self,
        other: Self,
    ) {
        self.duration_s += other.duration_s;
        self.idle_accelerator_s += other.idle_accelerator_s;
        self.unusable_accelerator_s += other.unusable_accelerator_s;
        self.large_shape_fits_s += other.large_shape_fits_s;
    }
}

impl FragmentationReport {
    /// Counts a span in which a view does not change.
    pub(super) fn record(
        &mut self,
        from: Millis,
        span: Duration,
        view: &FleetView,
        mix: &Rc<ShapeMix>,
    ) {
        let fragmentation = Fragmentation::of(view, mix.clone());
        let span_s = span.as_secs_f64();
        let sums = IdleSums {
            duration_s: span_s,
            idle_accelerator_s: f64::from(fragmentation.idle()) * span_s,
            unusable_accelerator_s: fragmentation.unusable() * span_s,
            large_shape_fits_s: if fits_in_idle(view, largest_shape(mix)) {
                span_s
            } else {
                0.0
            },
        };
        self.total.add(sums);
        let slice = self.slices.entry(from.0 / SLICE_MS).or_default();
        slice.add(sums);
    }
}

/// Returns the shape with the largest members, and of these the nearest.
fn largest_shape(mix: &ShapeMix) -> Option<Shape> {
    let shapes = mix.shapes.iter().map(|m| m.shape);
    shapes.max_by_key(|s| (s.accelerators, std::cmp::Reverse(s.adjacency), s.members))
}

/// Tells whether a shape finds room among the idle accelerators.
fn fits_in_idle(
    view: &FleetView,
    shape: Option<Shape>,
) -> bool {
    shape.is_some_and(|shape| {
        let mut groups = view.fleet.groups(shape.adjacency).iter();
        groups.any(|g| {
            let members = g
                .iter()
                .map(|w| view.capacities[*w].idle.len() / shape.accelerators);
            members.sum::<u32>() >= shape.members
        })
    })
}
