//! Updates units and jobs when runs end, are refused or are lost.

use {
    super::Scheduler,
    crate::{
        connection::{EndKind, StartRefusal},
        prelude::*,
        request::{JobPhase, Resources, RunRef, StepJobId, UnitId},
    },
};

/// The number of consecutive failed runs at which a worker is avoided. One run in twenty fails by
/// its own fault and is tried on another worker next, so two in a row are rarely by chance.
const FAILURE_STREAK_LIMIT: u32 = 2;

/// How long a worker is avoided after a streak of failed runs before it is tried again.
const FAILING_WORKER_PAUSE: Millis = Millis(8000);

/// How a run of one member of a unit came to an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum MemberEnd {
    /// The worker reported the end.
    Ended(EndKind),
    /// The start was refused.
    Refused(StartRefusal),
    /// The run was lost: its worker departed or no longer lists it, or its lease has expired.
    Lost,
}

impl Scheduler {
    /// Marks the runs as lost whose guards have not reported for so long that all leases have
    /// expired, or know nothing of their worker for as long.
    pub fn drop_expired_runs(
        &mut self,
        now: Millis,
    ) {
        let expiry_delay = self.leases.expiry_delay();
        let expired = self.upstreams.iter().filter(|(_, u)| {
            !u.runs.is_empty() && u.leased_at.is_none_or(|at| at + expiry_delay < now)
        });
        let expired: Vec<UpstreamName> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.mark_runs_lost(
                &name,
                now,
                "the guard does not report on the worker and all leases have expired",
            );
        }
    }

    pub(super) fn mark_worker_lost(
        &mut self,
        name: &UpstreamName,
        now: Millis,
        why: &str,
    ) {
        self.mark_runs_lost(name, now, why);
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.incarnation = None;
            upstream.unacknowledged_ends.clear();
            upstream.last_applied_end = 0;
            upstream.acknowledged_end = 0;
            upstream.leaving_since = None;
            upstream.leaves_at = None;
        }
    }

    /// Marks all runs of a worker as lost.
    pub(super) fn mark_runs_lost(
        &mut self,
        name: &UpstreamName,
        now: Millis,
        why: &str,
    ) {
        // Orders that are not sent yet would reach the next incarnation of the worker.
        self.pending_orders.remove(name);
        let runs = self
            .upstreams
            .get(name)
            .map(|u| u.runs.keys().copied().collect::<Vec<_>>());
        for run in runs.unwrap_or_default() {
            self.mark_run_lost(name, run, now, why);
        }
    }

    pub(super) fn mark_run_lost(
        &mut self,
        name: &UpstreamName,
        run: RunRef,
        now: Millis,
        why: &str,
    ) {
        let upstream = self.upstreams.get_mut(name);
        let Some(placed) = upstream.and_then(|u| u.runs.remove(&run)) else {
            return;
        };
        self.counts.count("lost");
        let age_ms = Millis::from(now.since(placed.known_since)).0;
        tracing::info!(term = self.term, %run, upstream = %name, why, age_ms, "run lost");
        if let Some((id, unit)) = placed.unit {
            self.store_checkpoint(id, unit, run.run, placed.checkpoint);
            self.handle_member_end(id, unit, run, MemberEnd::Lost);
        }
    }

    /// Stores the checkpoint of a run that ended, for the next start of its unit.
    pub(super) fn store_checkpoint(
        &mut self,
        id: StepJobId,
        unit: UnitId,
        run: u64,
        checkpoint: Option<Arc<str>>,
    ) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_latest = job
            .highest_run
            .get(&unit)
            .is_none_or(|highest| run >= *highest);
        let saves_checkpoints = job.job.step_of(unit).is_some_and(|s| s.checkpoints);
        let limit = self.record_limits.max_checkpoint_bytes(job.job.attempts);
        if limit.is_none_or(|limit| checkpoint.len() > limit) {
            tracing::warn!(job = %id, %unit, run, bytes = checkpoint.len(), limit, "a checkpoint is longer than a record can hold; it is not kept");
            return;
        }
        if is_latest && saves_checkpoints {
            job.progress.checkpoints.insert(unit, checkpoint);
            self.mark_changed(id);
        }
    }

    /// Applies the end of one member's run to its unit and job. Stops the other members of a gang
    /// that is not done, and ends a job that is complete or has used up its attempts.
    pub(super) fn handle_member_end(
        &mut self,
        id: StepJobId,
        unit: UnitId,
        run: RunRef,
        end: MemberEnd,
    ) {
        let max_attempts = self.max_attempts(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // The success of an earlier run that was given up does not count while another run goes on.
        let is_superseded = job
            .active_units
            .get(&unit)
            .is_some_and(|a| a.run != run.run);
        if end == MemberEnd::Ended(EndKind::Done)
            && !is_superseded
            && job.progress.done.insert(unit)
        {
            job.progress.checkpoints.remove(&unit);
            job.last_change = self.change_count + 1;
        }
        if end == MemberEnd::Ended(EndKind::Failed) {
            job.progress
                .failed_runs
                .entry(unit)
                .or_default()
                .insert(run.run);
            job.last_change = self.change_count + 1;
        }
        self.change_count += 1;
        let is_done = job.progress.done.contains(&unit);
        let mut stops_others = false;
        if let Some(active) = job.active_units.get_mut(&unit)
            && active.run == run.run
        {
            active.members.remove(&run.subtask.index);
            stops_others = !is_done && !active.is_stopping && !active.members.is_empty();
            if active.members.is_empty() {
                job.active_units.remove(&unit);
            }
        }
        let is_complete = job.progress.is_done(&job.job);
        let has_failed = !is_done && job.progress.failed_run_count(unit) >= max_attempts;
        if stops_others {
            self.stop_unit(id, unit, "a member of the gang has ended");
        }
        if is_complete {
            self.end_job(id, JobPhase::Completed);
        } else if has_failed {
            self.end_job(id, JobPhase::Failed);
        }
        self.drop_if_ended(id);
    }

    /// Drops a job that has ended once its end is recorded and read back and no run of it remains.
    pub(super) fn drop_if_ended(
        &mut self,
        id: StepJobId,
    ) {
        if let Some(job) = self.jobs.get(&id)
            && job.progress.phase.is_final()
            && job.active_units.is_empty()
            && job.last_recorded_change == job.last_change
            && job.is_end_read_back
        {
            self.jobs.remove(&id);
        }
    }

    pub(super) fn record_worker_health(
        &mut self,
        name: &UpstreamName,
        kind: EndKind,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        match kind {
            EndKind::Done => upstream.consecutive_failures = 0,
            EndKind::Failed => upstream.consecutive_failures += 1,
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => return,
        }
        if upstream.consecutive_failures >= FAILURE_STREAK_LIMIT {
            upstream.avoid_until = now + FAILING_WORKER_PAUSE;
            tracing::info!(upstream = %name, failures = upstream.consecutive_failures, "worker fails everything and is avoided");
        }
    }

    fn max_attempts(
        &self,
        id: StepJobId,
    ) -> u32 {
        self.jobs.get(&id).map_or(1, |j| j.job.attempts.max(1))
    }

    pub(super) fn is_active_member(
        &self,
        id: StepJobId,
        unit: UnitId,
        run: RunRef,
    ) -> bool {
        let active = self.jobs.get(&id).and_then(|j| j.active_units.get(&unit));
        active.is_some_and(|a| a.run == run.run && a.members.contains_key(&run.subtask.index))
    }

    pub(super) fn demand_of(
        &self,
        id: StepJobId,
        unit: UnitId,
    ) -> Option<Resources> {
        let job = self.jobs.get(&id)?;
        job.job.step_of(unit).map(|s| s.demand)
    }

    /// Returns the whole capacity of a worker. It stands for the unknown demand of a run that
    /// belongs to no open job, so that nothing is started beside it.
    pub(super) fn full_capacity(
        &self,
        name: &UpstreamName,
    ) -> Resources {
        self.upstreams
            .get(name)
            .map(|u| u.capacity)
            .unwrap_or_default()
    }
}
