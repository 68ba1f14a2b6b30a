//! Applies the reports of guards to the scheduler's state.

use {
    super::{ActiveUnit, PlacedRun, Scheduler, outcome::MemberEnd},
    crate::{
        connection::{
            EndKind, GuardReport, RunEnd, RunPhase, RunStatus, StartRefusal, WorkerIncarnation,
            WorkerReport, WorkerView,
        },
        prelude::*,
        request::{JobPhase, RunRef, StepJobId, UnitId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// How long nothing is started on a worker after it refused a start.
const START_REFUSAL_PAUSE: Millis = Millis(300);

/// How long a guard may go on extending the lease of a worker that does not answer: the guard's own
/// limit plus the longest call.
const MAX_LEASE_EXTENSION_MS: u64 = 3500;

impl Scheduler {
    /// Applies a guard's report: the state of its worker, and the runs, ends and refused starts
    /// there.
    pub fn apply_report(
        &mut self,
        name: &UpstreamName,
        report: GuardReport,
        now: Millis,
    ) {
        let upstream = self.upstreams.entry(name.clone()).or_default();
        upstream.last_report_at = Some(now);
        upstream.guard_clock_ms = Some(report.clock_ms);
        upstream.reported_registration = report.registration;
        upstream.data_centre = report.data_centre;
        let worker = match report.worker {
            WorkerView::Known(worker) => {
                upstream.leased_at = Some(now);
                worker
            }
            WorkerView::Ended => {
                self.end_wait_for(name, "its worker has ended");
                self.mark_worker_lost(name, now, "the worker has ended");
                return;
            }
            WorkerView::Unknown => {
                // A guard that has restarted extends no lease before the worker answers it.
                let leased_at = report
                    .lease_age_ms
                    .map(|age| Millis(now.0.saturating_sub(age)));
                upstream.leased_at = upstream.leased_at.max(leased_at);
                // The guard may use another worker now. The runs of the one before are over when
                // that one has answered, or when their leases have expired.
                if upstream.has_session_report {
                    tracing::info!(upstream = %name, "the guard does not describe its worker any more");
                    upstream.has_session_report = false;
                }
                return;
            }
        };
        if upstream.incarnation.as_ref() != Some(&worker.incarnation) {
            self.begin_incarnation(name, &worker.incarnation, now);
        }
        self.apply_worker_status(name, &worker, now);
        let expiry_ms = MAX_LEASE_EXTENSION_MS + self.leases.worker.0;
        if worker.unresponsive_ms > expiry_ms {
            self.end_wait_for(name, "the lease of its worker has expired");
            self.mark_runs_lost(
                name,
                now,
                "the worker does not answer and its lease has expired",
            );
            return;
        }
        let ends: BTreeSet<RunRef> = worker.ends.iter().map(|e| e.run).collect();
        for end in &worker.ends {
            self.apply_end(name, end, now);
        }
        for refused in &worker.refused {
            self.apply_refusal(name, refused.run, refused.reason, now);
        }
        for status in &worker.runs {
            self.apply_run_status(name, status, report.last_handled, now);
        }
        if report.lists_all_runs {
            self.end_wait_for(name, "it has reported all runs");
            self.drop_absent_runs(name, &worker, &ends, report.last_handled, now);
        }
    }

    fn begin_incarnation(
        &mut self,
        name: &UpstreamName,
        incarnation: &WorkerIncarnation,
        now: Millis,
    ) {
        self.mark_worker_lost(name, now, "the worker has restarted");
        if let Some(upstream) = self.upstreams.get_mut(name) {
            tracing::info!(upstream = %name, id = %incarnation.id, born_ms = incarnation.started_at_ms, "worker incarnation registered");
            upstream.incarnation = Some(incarnation.clone());
            upstream.consecutive_failures = 0;
            upstream.avoid_until = Millis(0);
        }
    }

    fn apply_worker_status(
        &mut self,
        name: &UpstreamName,
        worker: &WorkerReport,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        upstream.has_session_report = true;
        upstream.service = worker.service.clone();
        upstream.capacity = worker.capacity;
        upstream.labels.clone_from(&worker.labels);
        upstream.unresponsive_ms = worker.unresponsive_ms;
        let is_leaving = worker.remaining_ms.is_some();
        upstream.leaves_at = worker.remaining_ms.map(|ms| now + Millis(ms));
        if is_leaving != upstream.leaving_since.is_some() {
            tracing::info!(upstream = %name, is_leaving, remaining_ms = worker.remaining_ms, "worker's standing changed");
            upstream.leaving_since = is_leaving.then_some(now);
        }
    }

    fn apply_end(
        &mut self,
        name: &UpstreamName,
        end: &RunEnd,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(name) else {
            return;
        };
        if end.number <= upstream.last_applied_end {
            return;
        }
        upstream.last_applied_end = end.number;
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
            // A worker lists the ends only of runs that it has started.
            self.record_started(end.run);
            self.store_checkpoint(id, unit, end.run.run, end.checkpoint.clone());
            self.record_worker_health(name, end.kind, now);
            if end.kind == EndKind::Failed
                && let Some(job) = self.jobs.get_mut(&id)
            {
                job.failed_on.entry(unit).or_default().insert(name.clone());
            }
            self.handle_member_end(id, unit, end.run, MemberEnd::Ended(end.kind));
        }
        let required_change = self.jobs.get(&id).map(|j| (id, j.last_change));
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream
                .unacknowledged_ends
                .insert(end.number, required_change);
        }
    }

    fn apply_refusal(
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
        upstream.avoid_until = now + START_REFUSAL_PAUSE;
        self.counts.count("refused");
        tracing::info!(%run, upstream = %name, ?reason, "start refused");
        if let Some((id, unit)) = placed.unit {
            self.handle_member_end(id, unit, run, MemberEnd::Refused(reason));
        }
    }

    fn apply_run_status(
        &mut self,
        name: &UpstreamName,
        status: &RunStatus,
        handled: u64,
        now: Millis,
    ) {
        if status.phase == RunPhase::Running {
            self.record_started(status.run);
        }
        let known = self
            .upstreams
            .get_mut(name)
            .and_then(|u| u.runs.get_mut(&status.run));
        if let Some(placed) = known {
            if placed.is_stopping
                && placed.stop_message_number <= handled
                && status.phase != RunPhase::Stopping
            {
                // A guard that has restarted may receive the order before it knows its worker.
                tracing::info!(run = %status.run, upstream = %name, "the guard has not carried out the stop");
                placed.is_stopping = false;
            }
            placed.phase = status.phase;
            placed.progress_percent = status.progress_percent;
            if status.checkpoint.is_some() {
                placed.checkpoint.clone_from(&status.checkpoint);
            }
            self.stop_if_unwanted(name, status.run);
            return;
        }
        let unit = self.adopt_run(name, status, now);
        let demand = unit.and_then(|(id, unit)| self.demand_of(id, unit));
        let placed = PlacedRun {
            unit: unit.filter(|(id, unit)| self.is_active_member(*id, *unit, status.run)),
            demand: demand.unwrap_or_else(|| self.full_capacity(name)),
            phase: status.phase,
            checkpoint: status.checkpoint.clone(),
            progress_percent: status.progress_percent,
            order_message_number: 0,
            known_since: now,
            is_stopping: false,
            stop_message_number: 0,
        };
        let is_foreign = placed.unit.is_none();
        let is_stopping = unit.is_some_and(|(id, unit)| self.is_unit_stopping(id, unit));
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.runs.insert(status.run, placed);
        }
        if is_foreign {
            tracing::warn!(run = %status.run, upstream = %name, "stopping a run that belongs to no active unit");
        }
        if is_foreign || is_stopping {
            self.stop_run(name, status.run);
        }
    }

    /// Records that a worker has started a subtask of a job. Until then, starts that were ordered
    /// may be refused or lost, and the job is pending for its caller.
    fn record_started(
        &mut self,
        run: RunRef,
    ) {
        let id = run.subtask.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.progress.phase == JobPhase::Queued && job.job.unit_of(run.subtask).is_some() {
            job.progress.phase = JobPhase::Running;
            tracing::info!(job = %id, %run, "first subtask started");
            self.mark_changed(id);
        }
    }

    fn is_unit_stopping(
        &self,
        id: StepJobId,
        unit: UnitId,
    ) -> bool {
        let active = self.jobs.get(&id).and_then(|j| j.active_units.get(&unit));
        active.is_some_and(|a| a.is_stopping)
    }

    /// Orders a known run to stop when it belongs to no unit, or when its unit is being stopped and
    /// the order was lost.
    fn stop_if_unwanted(
        &mut self,
        name: &UpstreamName,
        run: RunRef,
    ) {
        let placed = self.upstreams.get(name).and_then(|u| u.runs.get(&run));
        let Some(placed) = placed.filter(|p| !p.is_stopping) else {
            return;
        };
        let active = placed
            .unit
            .and_then(|(id, unit)| self.jobs.get(&id)?.active_units.get(&unit));
        let is_wanted = match (placed.unit, active) {
            (None, _) => false,
            (Some(_), Some(active)) => !active.is_stopping,
            // The unit is done or its job has ended. The worker either ends the run by itself or
            // reports its end.
            (Some(_), None) => true,
        };
        if !is_wanted {
            self.stop_run(name, run);
        }
    }

    /// Adopts a run that was found on a worker as a member of its unit, unless the unit is done,
    /// its job has ended, or the unit runs under another number. Returns the job and unit if the
    /// job is known.
    fn adopt_run(
        &mut self,
        name: &UpstreamName,
        status: &RunStatus,
        now: Millis,
    ) -> Option<(StepJobId, UnitId)> {
        let id = status.run.subtask.job;
        let run = status.run.run;
        let job = self.jobs.get_mut(&id)?;
        let unit = job.job.unit_of(status.run.subtask)?;
        let highest_run = job.highest_run.entry(unit).or_default();
        *highest_run = (*highest_run).max(run);
        let is_open = !job.progress.phase.is_final() && !job.progress.done.contains(&unit);
        // Members of a unit that is being stopped are adopted too, because the unit may start again
        // only after all of its members have ended.
        let is_free = job.active_units.get(&unit).is_none_or(|a| a.run == run);
        if is_open && is_free {
            let active = job.active_units.entry(unit).or_insert_with(|| ActiveUnit {
                run,
                members: BTreeMap::new(),
                active_since: now,
                is_stopping: false,
                lenders: Vec::new(),
            });
            active
                .members
                .insert(status.run.subtask.index, name.clone());
            tracing::info!(run = %status.run, upstream = %name, percent = status.progress_percent, "run adopted");
        }
        Some((id, unit))
    }

    /// Marks the runs as lost that were ordered before the report was made and are not in it.
    fn drop_absent_runs(
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
            placed.order_message_number <= handled && !listed.contains(run) && !ends.contains(run)
        });
        let absent: Vec<RunRef> = absent.map(|(run, _)| *run).collect();
        for run in absent {
            self.mark_run_lost(name, run, now, "the worker no longer lists it");
        }
    }
}
