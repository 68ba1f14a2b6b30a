//! Preemption of deferrable jobs by urgent ones.

use {
    super::{Claim, RunningJob, WaitingJob, scheduling_pass::SchedulingPass},
    crate::{
        prelude::*,
        request::{Allocation, FleetView, GangPlacementRequest, PlacementDecision},
        version::Class,
    },
    std::cmp::Reverse,
};

/// The most running jobs that are considered for preemption by one urgent job.
const MAX_PREEMPTION_CANDIDATES: usize = 64;

/// The time in which preempted jobs are expected to have stopped.
const PREEMPTION_TIME: Duration = Duration::from_secs(5);

impl SchedulingPass<'_> {
    /// Preempts deferrable jobs for an urgent one and claims their workers. Returns the number of
    /// these jobs, including those that an earlier pass preempted; `None` when the job may not
    /// preempt others, or when that would not help.
    pub(super) fn preempt_for(
        &mut self,
        job: &WaitingJob,
        request: &GangPlacementRequest,
    ) -> Option<usize> {
        let urgent = job.kind.class == Class::Urgent;
        if !urgent || !self.cx.rules.preempts() || self.queue.claim.is_some() {
            return None;
        }
        let decision = self.place_after_preemption(request)?;
        let workers = decision
            .allocations
            .iter()
            .map(|a| self.cx.view.upstream_of(a.worker).clone());
        let claim = Claim {
            job: job.id,
            workers: workers.collect(),
            at: self.cx.now + Millis::from(PREEMPTION_TIME),
        };
        let victims = self.victims_of(&decision);
        for id in &victims {
            if let Some(running) = self.queue.running.get_mut(id)
                && !running.preempted
            {
                running.preempted = true;
                self.outcome.preemptions.push(*id);
            }
        }
        self.record_claim(claim);
        Some(victims.len())
    }

    /// Places a job as if deferrable jobs had stopped, one after another until it fits: first those
    /// that are preempted already, then the smallest, and of equal ones the one that started last.
    fn place_after_preemption(
        &self,
        request: &GangPlacementRequest,
    ) -> Option<PlacementDecision> {
        let running = self.queue.running.values();
        let mut deferrable: Vec<&RunningJob> = running.filter(|r| is_preemptible(r)).collect();
        deferrable.sort_by_key(|r| (!r.preempted, r.accelerators(), Reverse(r.started_at), r.id));
        let mut view = self.unclaimed_view.clone();
        for running in deferrable.into_iter().take(MAX_PREEMPTION_CANDIDATES) {
            view.release(&allocations_of(running, &view));
            let decision = self.cx.policy.place(request, &view);
            if decision.is_placed() {
                return Some(decision);
            }
        }
        None
    }

    /// Returns the deferrable jobs that hold accelerators of a placement.
    fn victims_of(
        &self,
        decision: &PlacementDecision,
    ) -> Vec<JobId> {
        let preemptible = self.queue.running.values().filter(|r| is_preemptible(r));
        let victims = preemptible.filter(|r| {
            let held = allocations_of(r, &self.cx.view);
            held.iter().any(|held_part| {
                let mut allocations = decision
                    .allocations
                    .iter()
                    .filter(|a| a.worker == held_part.worker);
                allocations.any(|a| a.accelerators.intersects(held_part.accelerators))
            })
        });
        victims.map(|r| r.id).collect()
    }
}

/// Returns whether a running job may be preempted.
fn is_preemptible(job: &RunningJob) -> bool {
    job.kind.class == Class::Deferrable && job.kind.is_evictable()
}

/// Returns what a running job holds, by the workers' indices in the fleet.
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
