//! Measures idle accelerators and their fragmentation over the time of a replay.

use {
    crate::{
        prelude::*,
        request::{FleetView, Fragmentation, ShapeMix},
        version::Shape,
    },
    std::collections::BTreeMap,
};

/// The duration of a time slice of the report, in milliseconds.
pub(super) const SLICE_MS: u64 = 6 * 3_600_000;

/// Sums of idle accelerators over a period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct IdleSums {
    /// The length of the period, in seconds.
    pub duration_s: f64,
    /// The idle accelerators, in accelerator seconds.
    pub idle_accelerator_s: f64,
    /// The idle accelerators that the shapes of the mix cannot use, in accelerator seconds.
    pub unusable_accelerator_s: f64,
    /// The time in which the mix's shape with the largest members fits in the idle accelerators, in
    /// seconds.
    pub large_shape_fits_s: f64,
}

/// The idle accelerators over time, and those among them that no shape of the mix could use.
#[derive(Clone, Debug, Default)]
pub struct FragmentationReport {
    /// The sums over the whole time.
    pub total: IdleSums,
    /// The sums for each time slice, by its number counted from the start of the replay.
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

    /// Returns the fraction of the idle accelerators that is unusable, or 0 when none was idle.
    pub fn unusable_fraction(&self) -> f64 {
        if self.idle_accelerator_s > 0.0 {
            self.unusable_accelerator_s / self.idle_accelerator_s
        } else {
            0.0
        }
    }

    /// Returns the fraction of the time in which the shape with the largest members fits.
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
    /// Adds a period in which the view does not change to the total and to the slice in which it
    /// starts.
    pub(super) fn record(
        &mut self,
        from: Millis,
        duration: Duration,
        view: &FleetView,
        mix: &Rc<ShapeMix>,
    ) {
        let fragmentation = Fragmentation::of(view, mix.clone());
        let duration_s = duration.as_secs_f64();
        let sums = IdleSums {
            duration_s,
            idle_accelerator_s: f64::from(fragmentation.idle()) * duration_s,
            unusable_accelerator_s: fragmentation.unusable() * duration_s,
            large_shape_fits_s: if fits_in_idle(view, largest_shape(mix)) {
                duration_s
            } else {
                0.0
            },
        };
        self.total.add(sums);
        let slice = self.slices.entry(from.0 / SLICE_MS).or_default();
        slice.add(sums);
    }
}

/// Returns the shape with the most accelerators for each member; among equals, the one with the
/// narrowest adjacency, and then the one with the most members.
fn largest_shape(mix: &ShapeMix) -> Option<Shape> {
    let shapes = mix.shapes.iter().map(|m| m.shape);
    shapes.max_by_key(|s| (s.accelerators, std::cmp::Reverse(s.adjacency), s.members))
}

/// Returns whether a shape fits in the idle accelerators of one group of workers.
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
