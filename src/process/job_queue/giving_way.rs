//! Deferrable jobs that give their place to urgent ones.

use {
    super::{Claim, RunningJob, WaitingJob, turn::Turn},
    crate::{
        prelude::*,
        request::{FleetView, PlacementAsk, PlacementDecision, Taken},
        version::Class,
    },
    std::cmp::Reverse,
};

/// The most running jobs that one turn considers as ones that give way.
const MAX_GIVING_WAY: usize = 64;

/// How long giving way is expected to take.
const GIVE_WAY_TIME: Duration = Duration::from_secs(5);

impl Turn<'_> {
    /// Asks deferrable jobs to give their place to an urgent one; returns how many do.
    pub(super) fn make_way(
        &mut self,
        job: &WaitingJob,
        ask: &PlacementAsk,
    ) -> Option<usize> {
        let urgent = job.kind.class == Class::Urgent;
        if !urgent || !self.cx.rules.gives_way() || self.queue.claim.is_some() {
            return None;
        }
        let decision = self.place_after_way(ask)?;
        let taken = decision
            .taken
            .iter()
            .map(|t| self.cx.view.name_of(t.worker).clone());
        let claim = Claim {
            job: job.id,
            workers: taken.collect(),
            at: self.cx.now + Millis::from(GIVE_WAY_TIME),
        };
        let way = self.jobs_in_the_way(&decision);
        for id in &way {
            if let Some(running) = self.queue.running.get_mut(id)
                && !running.gives_way
            {
                running.gives_way = true;
                self.outcome.give_way.push(*id);
            }
        }
        self.hold_claim(claim);
        Some(way.len())
    }

    /// Places a job as if deferrable jobs had given way: the smallest first, and of equal ones the
    /// one that started last.
    fn place_after_way(
        &self,
        ask: &PlacementAsk,
    ) -> Option<PlacementDecision> {
        let running = self.queue.running.values();
        let mut deferrable: Vec<&RunningJob> = running.filter(|r| is_removable(r)).collect();
        deferrable.sort_by_key(|r| (!r.gives_way, r.accelerators(), Reverse(r.started), r.id));
        let mut view = self.beside.clone();
        for running in deferrable.into_iter().take(MAX_GIVING_WAY) {
            view.give_back(&taken_by(running, &view));
            let decision = self.cx.policy.place(ask, &view);
            if decision.is_placed() {
                return Some(decision);
            }
        }
        None
    }

    /// Returns the deferrable jobs that hold something of a place.
    fn jobs_in_the_way(
        &self,
        decision: &PlacementDecision,
    ) -> Vec<JobId> {
        let removable = self.queue.running.values().filter(|r| is_removable(r));
        let in_the_way = removable.filter(|r| {
            let parts = taken_by(r, &self.cx.view);
            parts.iter().any(|part| {
                let mut taken = decision.taken.iter().filter(|t| t.worker == part.worker);
                taken.any(|t| t.accelerators.intersects(part.accelerators))
            })
        });
        in_the_way.map(|r| r.id).collect()
    }
}

/// Tells whether a running job may be asked to give way.
fn is_removable(job: &RunningJob) -> bool {
    job.kind.class == Class::Deferrable && job.kind.is_evictable()
}

/// Returns what a running job holds, by index in the fleet.
fn taken_by(
    job: &RunningJob,
    view: &FleetView,
) -> Vec<Taken> {
    let held = job.held.iter().filter_map(|h| {
        Some(Taken {
            worker: view.fleet.index_of(&h.upstream)?,
            accelerators: h.accelerators,
            plain_tasks: h.plain_tasks,
        })
    });
    held.collect()
}
