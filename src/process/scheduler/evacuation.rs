//! Stops the runs on workers that are about to leave, so that they go on elsewhere at once.

use {
    super::{PlacedRun, Scheduler},
    crate::{
        prelude::*,
        request::{StepJobId, UnitId},
    },
};

/// How long before a worker may leave its runs are stopped: a stop, the report of its end, and some
/// slack. What is still running when a worker leaves starts again only after the worker's lease, and
/// without the checkpoint of a stop.
const EVACUATION_LEAD: Millis = Millis(1500);

impl Scheduler {
    /// Stops the units with runs on workers that leave soon, unless these are likely to finish before.
    pub(super) fn evacuate_leaving_workers(
        &mut self,
        now: Millis,
    ) {
        for (id, unit) in self.units_to_evacuate(now) {
            self.stop_unit(id, unit, "its worker leaves");
        }
    }

    fn units_to_evacuate(
        &self,
        now: Millis,
    ) -> Vec<(StepJobId, UnitId)> {
        let leaving = self.upstreams.values().filter_map(|u| {
            let leaves_at = u.leaves_at.filter(|at| *at <= now + EVACUATION_LEAD)?;
            Some((leaves_at, u))
        });
        let runs = leaving.flat_map(|(leaves_at, u)| {
            let staying = u.runs.values();
            staying.filter(move |r| !r.is_stopping && !finishes_before(r, now, leaves_at))
        });
        let mut units: Vec<(StepJobId, UnitId)> = runs.filter_map(|r| r.unit).collect();
        units.sort_unstable();
        units.dedup();
        units
    }
}

/// Returns whether a run finishes before `end` if it goes on as fast as since it was ordered.
fn finishes_before(
    run: &PlacedRun,
    now: Millis,
    end: Millis,
) -> bool {
    let percent = run.progress_percent.min(100);
    let elapsed_ms = Millis::from(now.since(run.known_since)).0;
    percent > 0 && now.0 + elapsed_ms * (100 - percent) / percent < end.0
}
