//! Deferrable jobs that give their place to urgent ones.

use {
    super::{Claim, RunningJob, WaitingJob, scheduling_pass::SchedulingPass},
    crate::{
        prelude::*,
        request::{Allocation, FleetView, GangPlacementRequest, PlacementDecision},
        version::Class,
    },
    std::cmp::Reverse,
};

/// The most running jobs that one turn considers as ones that give way.
const MAX_PREEMPTION_CANDIDATES: usize = 64;

/// How long giving way is expected to take.
const PREEMPTION_TIME: Duration = Duration::from_secs(5);

impl SchedulingPass<'_> {
    /// Asks deferrable jobs to give their place to an urgent one; returns how many do.
    pub(super) fn preempt_for(
        &mut self,
        job: &WaitingJob,
        ask: &GangPlacementRequest,
    ) -> Option<usize> {
        let urgent = job.kind.class == Class::Urgent;
        if !urgent || !self.cx.rules.preempts() || self.queue.claim.is_some() {
            return None;
        }
        let decision = self.place_after_preemption(ask)?;
        let taken = decision
            .allocations
            .iter()
            .map(|t| self.cx.view.upstream_of(t.worker).clone());
        let claim = Claim {
            job: job.id,
            workers: taken.collect(),
            at: self.cx.now + Millis::from(PREEMPTION_TIME),
        };
        let way = self.victims_of(&decision);
        for id in &way {
            if let Some(running) = self.queue.running.get_mut(id)
                && !running.preempted
            {
                running.preempted = true;
                self.outcome.preemptions.push(*id);
            }
        }
        self.record_claim(claim);
        Some(way.len())
    }

    /// Places a job as if deferrable jobs had given way: the smallest first, and of equal ones the
    /// one that started last.
    fn place_after_preemption(
        &self,
        ask: &GangPlacementRequest,
    ) -> Option<PlacementDecision> {
        let running = self.queue.running.values();
        let mut deferrable: Vec<&RunningJob> = running.filter(|r| is_preemptible(r)).collect();
        deferrable.sort_by_key(|r| (!r.preempted, r.accelerators(), Reverse(r.started_at), r.id));
        let mut view = self.unclaimed_view.clone();
        for running in deferrable.into_iter().take(MAX_PREEMPTION_CANDIDATES) {
            view.release(&allocations_of(running, &view));
            let decision = self.cx.policy.place(ask, &view);
            if decision.is_placed() {
                return Some(decision);
            }
        }
        None
    }

    /// Returns the deferrable jobs that hold something of a place.
    fn victims_of(
        &self,
        decision: &PlacementDecision,
    ) -> Vec<JobId> {
        let removable = self.queue.running.values().filter(|r| is_preemptible(r));
        let in_the_way = removable.filter(|r| {
            let parts = allocations_of(r, &self.cx.view);
            parts.iter().any(|part| {
                let mut taken = decision
                    .allocations
                    .iter()
                    .filter(|t| t.worker == part.worker);
                taken.any(|t| t.accelerators.intersects(part.accelerators))
            })
        });
        in_the_way.map(|r| r.id).collect()
    }
}

/// Tells whether a running job may be asked to give way.
fn is_preemptible(job: &RunningJob) -> bool {
    job.kind.class == Class::Deferrable && job.kind.is_evictable()
}

/// Returns what a running job holds, by index in the fleet.
fn allocations_of(
    job: &RunningJob,
    view: &FleetView,
) -> Vec<Allocation> {
    let held = job.held.iter().filter_map(|h| {
        Some(Allocation {
            worker: view.fleet.index_of(&h.upstream)?,
            accelerators: h.accelerators,
            plain_tasks: h.plain_tasks,
        })
    });
    held.collect()
}
