//! What guards report, and what follows for units and jobs.

use {
    super::{ActiveUnit, PlacedRun, Scheduler},
    crate::{
        connection::{
            EndKind, GuardReport, RunEnd, RunStatus, StartRefusal, WorkerLife, WorkerReport,
        },
        prelude::*,
        request::{JobPhase, Resources, RunRef, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How many units in a row may fail on a worker before it is avoided. Runs that fail by their own
/// fault are one in twenty and are tried elsewhere next, so two in a row are rarely by chance.
const MAX_FAILURES_IN_A_ROW: u32 = 2;

/// How long a worker that fails everything is avoided before it gets another trial.
const FAILURE_PAUSE: Millis = Millis(8000);

/// How long nothing is started on a worker that refused a start.
const REFUSAL_PAUSE: Millis = Millis(300);

/// How long a worker may be silent before its guard stops extending its lease; the guard's own
/// limit, with the longest call added.
const MAX_EXTENDED_SILENCE_MS: u64 = 3500;

/// Why the members of a unit are gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Gone {
    /// The worker listed the end.
    Ended(EndKind),
    /// The start did not come about.
    Refused(StartRefusal),
    /// It was lost with its worker, or its lease has surely ended.
    Lost,
}

impl Scheduler {
    /// Takes a guard's report.
    pub fn take_report(
        &mut self,
        name: &UpstreamName,
        report: GuardReport,
        now: Millis,
    ) {
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.heard = Some(now);
        upstream.echo_ms = report.clock_ms;
        let was_in_session = upstream.in_session;
        let Some(worker) = report.worker else {
            if was_in_session && upstream.life.is_some() {
                self.lose_worker(name, now, "the worker has left");
            }
            return;
        };
        if upstream.life.as_ref() != Some(&worker.life) {
            self.begin_life(name, &worker.life, now);
        }
        self.unaccounted.remove(name);
        // In a new session every earlier order is fenced, so what is not listed does not run.
        let handled = if was_in_session {
            report.handled
        } else {
            u64::MAX
        };
        self.take_standing(name, &worker, now);
        let lapse_ms = MAX_EXTENDED_SILENCE_MS + self.leases.worker.0;
        if worker.silent_ms > lapse_ms {
            self.lose_runs(name, now, "the worker is silent and its lease has ended");
            return;
        }
        let ends: BTreeSet<RunRef> = worker.ends.iter().map(|e| e.run).collect();
        for end in &worker.ends {
            self.take_end(name, end, now);
        }
        for refused in &worker.refused {
            self.take_refusal(name, refused.run, refused.reason, now);
        }
        for status in &worker.runs {
            self.take_status(name, status, now);
        }
        self.take_absent(name, &worker, &ends, handled, now);
    }

    /// Drops what has surely ended because its guard has been silent for so long.
    pub fn drop_lapsed(
        &mut self,
        now: Millis,
    ) {
        let horizon = self.leases.horizon();
        let lapsed = self
            .upstreams
            .iter()
            .filter(|(_, u)| !u.runs.is_empty() && u.heard.is_none_or(|at| at + horizon < now));
        let lapsed: Vec<UpstreamName> = lapsed.map(|(name, _)| name.clone()).collect();
        for name in lapsed {
            self.lose_runs(&name, now, "its guard is silent and all leases have ended");
        }
    }

    fn begin_life(
        &mut self,
        name: &UpstreamName,
        life: &WorkerLife,
        now: Millis,
    ) {
        self.lose_worker(name, now, "another life of the worker has begun");
        if let Some(upstream) = self.upstreams.get_mut(name) {
            tracing::info!(upstream = %name, id = %life.id, born_ms = life.born_ms, "worker known");
            upstream.life = Some(life.clone());
            upstream.failures_in_a_row = 0;
            upstream.avoid_until = Millis(0);
        }
    }

    fn take_standing(
        &mut self,
        name: &UpstreamName,
        worker: &WorkerReport,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.in_session = true;
        upstream.service = worker.service.clone();
        upstream.capacity = worker.capacity;
        upstream.labels.clone_from(&worker.labels);
        upstream.silent_ms = worker.silent_ms;
        let is_leaving = worker.leaving_ms.is_some();
        if is_leaving != upstream.leaving_since.is_some() {
            tracing::info!(upstream = %name, is_leaving, remaining_ms = worker.leaving_ms, "worker's standing changed");
            upstream.leaving_since = is_leaving.then_some(now);
        }
    }

    fn take_end(
        &mut self,
        name: &UpstreamName,
        end: &RunEnd,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if end.number <= upstream.taken_end {
            return;
        }
        upstream.taken_end = end.number;
        upstream.runs.remove(&end.run);
        self.counts.count(match end.kind {
            EndKind::Done => "done",
            EndKind::Failed => "failed",
            EndKind::Stopped => "stopped",
            EndKind::Lapsed => "lapsed",
            EndKind::Broken => "broken",
            EndKind::Alone => "alone",
        });
        let id = end.run.subtask.job;
        let unit = self
            .jobs
            .get(&id)
            .and_then(|j| j.job.unit_of(end.run.subtask));
        tracing::info!(run = %end.run, upstream = %name, number = end.number, kind = ?end.kind, is_open = unit.is_some(), "run ended");
        if let Some(unit) = unit {
            self.keep_checkpoint(id, unit, end.run.run, end.checkpoint.clone());
            self.note_soundness(name, end.kind, now);
            if end.kind == EndKind::Failed
                && let Some(job) = self.jobs.get_mut(&id)
            {
                job.failed_on.entry(unit).or_default().insert(name.clone());
            }
            self.member_gone(id, unit, end.run, Gone::Ended(end.kind));
        }
        let need = self.jobs.get(&id).map(|j| (id, j.changed));
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.unrecorded.insert(end.number, need);
        }
    }

    fn take_refusal(
        &mut self,
        name: &UpstreamName,
        run: RunRef,
        reason: StartRefusal,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        let Some(placed) = upstream.runs.remove(&run) else {
            return;
        };
        upstream.avoid_until = now + REFUSAL_PAUSE;
        self.counts.count("refused");
        tracing::info!(%run, upstream = %name, ?reason, "start refused");
        if let Some((id, unit)) = placed.unit {
            self.member_gone(id, unit, run, Gone::Refused(reason));
        }
    }

    fn take_status(
        &mut self,
        name: &UpstreamName,
        status: &RunStatus,
        now: Millis,
    ) {
        let known = self
            .upstreams
            .get_mut(name)
            .and_then(|u| u.runs.get_mut(&status.run));
        if let Some(placed) = known {
            placed.phase = status.phase;
            placed.percent = status.percent;
            if status.checkpoint.is_some() {
                placed.checkpoint.clone_from(&status.checkpoint);
            }
            self.stop_if_unwanted(name, status.run);
            return;
        }
        let unit = self.adopt(name, status, now);
        let demand = unit.and_then(|(id, unit)| self.demand_of(id, unit));
        let placed = PlacedRun {
            unit: unit.filter(|(id, unit)| self.is_run_of(*id, *unit, status.run)),
            demand: demand.unwrap_or_else(|| self.demand_at_most(name)),
            phase: status.phase,
            checkpoint: status.checkpoint.clone(),
            percent: status.percent,
            ordered_by: 0,
            since: now,
            stopping: false,
        };
        let is_foreign = placed.unit.is_none();
        let is_stopping = unit.is_some_and(|(id, unit)| self.is_stopping(id, unit));
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.runs.insert(status.run, placed);
        }
        if is_foreign {
            tracing::warn!(run = %status.run, upstream = %name, "a run that should not be is stopped");
        }
        if is_foreign || is_stopping {
            self.stop_run(name, status.run);
        }
    }

    fn is_stopping(
        &self,
        id: StepJobId,
        unit: UnitId,
    ) -> bool {
        let active = self.jobs.get(&id).and_then(|j| j.active.get(&unit));
        active.is_some_and(|a| a.stopping)
    }

    /// Orders a known run to stop when its unit is being stopped and the order was lost.
    fn stop_if_unwanted(
        &mut self,
        name: &UpstreamName,
        run: RunRef,
    ) {
        let placed = self.upstreams.get(name).and_then(|u| u.runs.get(&run));
        let Some(placed) = placed.filter(|p| !p.stopping) else {
            return;
        };
        let active = placed
            .unit
            .and_then(|(id, unit)| self.jobs.get(&id)?.active.get(&unit));
        let is_wanted = match (placed.unit, active) {
            (None, _) => false,
            (Some(_), Some(active)) => !active.stopping,
            // The unit is done or its job has ended; the worker ends the run by itself or lists it.
            (Some(_), None) => true,
        };
        if !is_wanted {
            self.stop_run(name, run);
        }
    }

    /// Takes over a run that was found on a worker: it counts when its unit is still to be done and
    /// does not run under another number. Returns the job and unit if the job is open.
    fn adopt(
        &mut self,
        name: &UpstreamName,
        status: &RunStatus,
        now: Millis,
    ) -> Option<(StepJobId, UnitId)> {
        let id = status.run.subtask.job;
        let run = status.run.run;
        let job = self.jobs.get_mut(&id)?;
        let unit = job.job.unit_of(status.run.subtask)?;
        let last = job.last_run.entry(unit).or_default();
        *last = (*last).max(run);
        let is_open = !job.progress.phase.is_final() && !job.progress.done.contains(&unit);
        // A member of a unit that is being stopped counts too: the unit starts again only when all
        // of its members are gone.
        let is_free = job.active.get(&unit).is_none_or(|a| a.run == run);
        if is_open && is_free {
            let active = job.active.entry(unit).or_insert_with(|| ActiveUnit {
                run,
                members: BTreeMap::new(),
                since: now,
                stopping: false,
            });
            active
                .members
                .insert(status.run.subtask.index, name.clone());
            tracing::info!(run = %status.run, upstream = %name, percent = status.percent, "run taken over");
            if job.progress.phase == JobPhase::Queued {
                job.progress.phase = JobPhase::Running;
                self.touch(id);
            }
        }
        Some((id, unit))
    }

    /// Handles runs that were ordered before the report was made and are not listed in it.
    fn take_absent(
        &mut self,
        name: &UpstreamName,
        worker: &WorkerReport,
        ends: &BTreeSet<RunRef>,
        handled: u64,
        now: Millis,
    ) {
        let listed: BTreeSet<RunRef> = worker.runs.iter().map(|s| s.run).collect();
        let Some(upstream) = self.upstreams.get(name) else {
            return;
        };
        let absent = upstream.runs.iter().filter(|(run, placed)| {
            placed.ordered_by <= handled && !listed.contains(run) && !ends.contains(run)
        });
        let absent: Vec<RunRef> = absent.map(|(run, _)| *run).collect();
        for run in absent {
            self.lose_run(name, run, now, "the worker no longer lists it");
        }
    }

    fn lose_worker(
        &mut self,
        name: &UpstreamName,
        now: Millis,
        why: &str,
    ) {
        self.lose_runs(name, now, why);
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.life = None;
            upstream.unrecorded.clear();
            upstream.taken_end = 0;
            upstream.noted_end = 0;
            upstream.leaving_since = None;
        }
    }

    fn lose_runs(
        &mut self,
        name: &UpstreamName,
        now: Millis,
        why: &str,
    ) {
        let runs = self
            .upstreams
            .get(name)
            .map(|u| u.runs.keys().copied().collect::<Vec<_>>());
        for run in runs.unwrap_or_default() {
            self.lose_run(name, run, now, why);
        }
    }

    fn lose_run(
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
        let age_ms = Millis::from(now.since(placed.since)).0;
        tracing::info!(%run, upstream = %name, why, age_ms, "run lost");
        if let Some((id, unit)) = placed.unit {
            self.keep_checkpoint(id, unit, run.run, placed.checkpoint);
            self.member_gone(id, unit, run, Gone::Lost);
        }
    }

    /// Keeps the checkpoint of a run that ended, for the unit's next start.
    fn keep_checkpoint(
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
        let is_latest = job.last_run.get(&unit).is_none_or(|last| run >= *last);
        let has_step = job.job.step_of(unit).is_some_and(|s| s.checkpoints);
        if is_latest && has_step {
            job.progress.checkpoints.insert(unit, checkpoint);
            self.touch(id);
        }
    }

    /// Draws the consequences of one member's end for its unit and job.
    fn member_gone(
        &mut self,
        id: StepJobId,
        unit: UnitId,
        run: RunRef,
        gone: Gone,
    ) {
        let attempts = self.attempts_of(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // An end of an earlier run that was given up does not count while another run goes on.
        let is_superseded = job.active.get(&unit).is_some_and(|a| a.run != run.run);
        if gone == Gone::Ended(EndKind::Done) && !is_superseded && job.progress.done.insert(unit) {
            job.progress.checkpoints.remove(&unit);
            job.changed = self.changes + 1;
        }
        if gone == Gone::Ended(EndKind::Failed) {
            job.progress
                .failed_runs
                .entry(unit)
                .or_default()
                .insert(run.run);
            job.changed = self.changes + 1;
        }
        self.changes += 1;
        let is_done = job.progress.done.contains(&unit);
        let mut stops_others = false;
        if let Some(active) = job.active.get_mut(&unit)
            && active.run == run.run
        {
            active.members.remove(&run.subtask.index);
            stops_others = !is_done && !active.stopping && !active.members.is_empty();
            if active.members.is_empty() {
                job.active.remove(&unit);
            }
        }
        let is_complete = job.progress.is_done(&job.job);
        let has_failed = !is_done && job.progress.failures(unit) >= attempts;
        if stops_others {
            self.stop_unit(id, unit, "a member of the gang has ended");
        }
        if is_complete {
            self.end_job(id, JobPhase::Completed);
        } else if has_failed {
            self.end_job(id, JobPhase::Failed);
        }
        self.forget_if_over(id);
    }

    /// Drops a job that has ended once its end is recorded and read back and its last run is gone.
    pub(super) fn forget_if_over(
        &mut self,
        id: StepJobId,
    ) {
        if let Some(job) = self.jobs.get(&id)
            && job.progress.phase.is_final()
            && job.active.is_empty()
            && job.recorded == job.changed
            && job.is_final_read
        {
            self.jobs.remove(&id);
        }
    }

    fn note_soundness(
        &mut self,
        name: &UpstreamName,
        kind: EndKind,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        match kind {
            EndKind::Done => upstream.failures_in_a_row = 0,
            EndKind::Failed => upstream.failures_in_a_row += 1,
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => return,
        }
        if upstream.failures_in_a_row >= MAX_FAILURES_IN_A_ROW {
            upstream.avoid_until = now + FAILURE_PAUSE;
            tracing::info!(upstream = %name, failures = upstream.failures_in_a_row, "worker fails everything and is avoided");
        }
    }

    fn attempts_of(
        &self,
        id: StepJobId,
    ) -> u32 {
        self.jobs.get(&id).map_or(1, |j| j.job.attempts.max(1))
    }

    fn is_run_of(
        &self,
        id: StepJobId,
        unit: UnitId,
        run: RunRef,
    ) -> bool {
        let active = self.jobs.get(&id).and_then(|j| j.active.get(&unit));
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

    /// The demand of a run that no open job knows: all that the worker has, so that nothing is
    /// started beside it.
    fn demand_at_most(
        &self,
        name: &UpstreamName,
    ) -> Resources {
        self.upstreams
            .get(name)
            .map(|u| u.capacity)
            .unwrap_or_default()
    }
}
