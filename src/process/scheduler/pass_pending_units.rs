//! Collects the units that may start in a scheduling pass.

use {
    super::{PendingUnit, Scheduler},
    crate::{
        prelude::*,
        request::{StepJob, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl Scheduler {
    /// Returns the units that are ready to start, and records since when each has been ready.
    pub(super) fn pending_units(
        &mut self,
        now: Millis,
        wall: Millis,
    ) -> Vec<PendingUnit> {
        let is_held = self.may_have_inherited_runs(now);
        let mut units = Vec::new();
        for (id, open) in &mut self.jobs {
            let may_run_elsewhere = is_held && open.may_have_started;
            if open.progress.phase.is_final() || may_run_elsewhere || !open.has_term_record {
                continue;
            }
            for unit in ready_units(&open.job, &open.progress.done, wall) {
                if open.active_units.contains_key(&unit) || open.progress.done.contains(&unit) {
                    continue;
                }
                let Some(step) = open.job.step_of(unit) else {
                    continue;
                };
                let since = *open.ready_since.entry(unit).or_insert(now);
                units.push(PendingUnit {
                    job: *id,
                    unit,
                    priority: open.job.priority,
                    is_guaranteed: false,
                    was_preempted: open.preemptions.contains_key(&unit),
                    due: open.job.window(unit.occurrence).1,
                    waited: now.since(since),
                    total_demand: step.demand.times(u64::from(step.members_per_unit())),
                });
            }
        }
        self.mark_guaranteed(&mut units);
        units
    }

    /// Marks the urgent units that fit into the unused part of their account's guarantee, the ones
    /// with the earliest due time first.
    fn mark_guaranteed(
        &self,
        units: &mut [PendingUnit],
    ) {
        let Some(table) = &self.queue_table else {
            return;
        };
        let mut unused: BTreeMap<&AccountName, u64> = table
            .accounts
            .values()
            .map(|a| (&a.name, a.guaranteed_accelerators))
            .collect();
        for open in self.jobs.values().filter(|j| j.job.priority == 0) {
            if let Some(unused) = unused.get_mut(&open.job.account) {
                let steps = open
                    .active_units
                    .keys()
                    .filter_map(|u| open.job.step_of(*u));
                let used: u64 = steps
                    .map(|s| s.demand.accelerators * u64::from(s.members_per_unit()))
                    .sum();
                *unused = unused.saturating_sub(used);
            }
        }
        units.sort_by_key(PendingUnit::order_key);
        for pending in units.iter_mut().filter(|a| a.priority == 0) {
            let account = self.jobs.get(&pending.job).map(|j| &j.job.account);
            if let Some(unused) = account.and_then(|a| unused.get_mut(a))
                && pending.total_demand.accelerators <= *unused
            {
                *unused -= pending.total_demand.accelerators;
                pending.is_guaranteed = true;
            }
        }
    }
}

/// Returns the units of occurrences that are due, whose steps have all their predecessors done.
fn ready_units(
    job: &StepJob,
    done: &BTreeSet<UnitId>,
    wall: Millis,
) -> Vec<UnitId> {
    let mut ready = Vec::new();
    for occurrence in 0..job.occurrences() {
        if job.recurrence.is_some_and(|r| r.due(occurrence) > wall) {
            break;
        }
        let is_done = |step: &u16| job.units(occurrence, *step).all(|u| done.contains(&u));
        for (index, step) in job.steps.iter().enumerate() {
            if step.after.iter().all(is_done) {
                ready.extend(job.units(occurrence, index as u16));
            }
        }
    }
    ready
}
