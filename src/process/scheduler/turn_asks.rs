//! What could start in a turn.

use {
    super::{Ask, Scheduler},
    crate::{
        prelude::*,
        request::{StepJob, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl Scheduler {
    /// Returns the units whose turn has come, and notes since when they wait.
    pub(super) fn asks(
        &mut self,
        now: Millis,
        wall: Millis,
    ) -> Vec<Ask> {
        let is_held = !self.unaccounted.is_empty() && now < self.hold_until;
        let mut asks = Vec::new();
        for (id, open) in &mut self.jobs {
            let may_run = is_held && open.is_inherited;
            if open.progress.phase.is_final() || may_run || !open.is_announced {
                continue;
            }
            for unit in ready_units(&open.job, &open.progress.done, wall) {
                if open.active.contains_key(&unit) || open.progress.done.contains(&unit) {
                    continue;
                }
                let Some(step) = open.job.step_of(unit) else {
                    continue;
                };
                let since = *open.ready_since.entry(unit).or_insert(now);
                asks.push(Ask {
                    job: *id,
                    unit,
                    priority: open.job.priority,
                    is_guaranteed: false,
                    due: open.job.window(unit.occurrence).1,
                    waited: now.since(since),
                    demand: step.demand.times(u64::from(step.members_per_unit())),
                });
            }
        }
        self.mark_guaranteed(&mut asks);
        asks
    }

    /// Marks the urgent units that fit into what is left of their account's guarantee, those that
    /// are due first before the others.
    fn mark_guaranteed(
        &self,
        asks: &mut [Ask],
    ) {
        let Some(table) = &self.table else {
            return;
        };
        let mut left: BTreeMap<&AccountName, u64> = table
            .accounts
            .values()
            .map(|a| (&a.name, a.guaranteed_accelerators))
            .collect();
        for open in self.jobs.values().filter(|j| j.job.priority == 0) {
            if let Some(left) = left.get_mut(&open.job.account) {
                let steps = open.active.keys().filter_map(|u| open.job.step_of(*u));
                let used: u64 = steps
                    .map(|s| s.demand.accelerators * u64::from(s.members_per_unit()))
                    .sum();
                *left = left.saturating_sub(used);
            }
        }
        asks.sort_by_key(Ask::order);
        for ask in asks.iter_mut().filter(|a| a.priority == 0) {
            let account = self.jobs.get(&ask.job).map(|j| &j.job.account);
            if let Some(left) = account.and_then(|a| left.get_mut(a))
                && ask.demand.accelerators <= *left
            {
                *left -= ask.demand.accelerators;
                ask.is_guaranteed = true;
            }
        }
    }
}

/// Returns the units whose steps have all steps before them done and whose time has come.
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
