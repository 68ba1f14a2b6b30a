//! One replay: arrivals, starts and ends in virtual time, decided by the real queue.

use {
    super::{
        Deployment, ReplayJob, ReplayResult, Strategy, Workload,
        replay_event::{Event, EventTime},
        replay_job::{ReplayProgress, Run},
    },
    crate::{
        connection::GuaranteedShare,
        prelude::*,
        process::{
            entry::ShareIndex,
            job_queue::{JobQueue, JobStart, PassCx, RunningJob, WaitingJob},
        },
        request::{FleetView, ShapeMix, WorkerCapacity},
        version::{Guarantee, Layout, compute_layout},
    },
    std::collections::BTreeMap,
};

/// How often the queue gets a turn while jobs wait.
const PASS_INTERVAL: Duration = Duration::from_secs(60);

/// How long a task runs on a bad worker, or a job that cannot work, before it fails.
const FAILURE_DELAY: Duration = Duration::from_secs(20);

/// How long a job takes to be checkpointed and stopped.
const STOP_DURATION: Duration = Duration::from_secs(3);

/// How long after the last arrival a replay ends at the latest.
const MAX_TIME_AFTER_ARRIVALS: Duration = Duration::from_secs(20 * 24 * 3600);

/// A replay under way.
pub struct Replay<'a> {
    document: Document,
    deployment: &'a Deployment,
    strategy: &'a Strategy,
    workload: &'a Workload,
    mix: Rc<ShapeMix>,
    shares: ShareIndex,
    queue: JobQueue,
    now: Millis,
    events: BTreeMap<EventTime, Event>,
    next_sequence: u64,
    job_progress: BTreeMap<JobId, ReplayProgress>,
    runs: BTreeMap<JobId, Run>,
    is_tick_scheduled: bool,
    result: ReplayResult,
}

impl<'a> Replay<'a> {
    /// Prepares a replay.
    pub fn new(
        deployment: &'a Deployment,
        strategy: &'a Strategy,
        workload: &'a Workload,
    ) -> Self {
        let mut document = deployment.document.clone();
        if let Some(weights) = strategy.weights {
            document.completion_weight = weights.completion;
            document.fragmentation_weight = weights.fragmentation;
        }
        let guarantees = Guarantee::all_of(&document);
        let layout = compute_layout(&guarantees, &deployment.fleet, &Layout::default());
        let mut replay = Self {
            mix: Rc::new(ShapeMix::of(&document)),
            shares: ShareIndex::of(&layout),
            document,
            deployment,
            strategy,
            workload,
            queue: JobQueue::default(),
            now: Millis::default(),
            events: BTreeMap::new(),
            next_sequence: 0,
            job_progress: BTreeMap::new(),
            runs: BTreeMap::new(),
            is_tick_scheduled: false,
            result: ReplayResult::default(),
        };
        for (i, job) in workload.jobs.iter().enumerate() {
            replay.schedule_at(job.arrives_at, Event::Arrived(i));
            if let Some(at) = job.cancelled_at {
                replay.schedule_at(at, Event::Cancelled(job.id));
            }
        }
        replay
    }

    /// Runs to the end.
    pub fn run(mut self) -> ReplayResult {
        let last = self
            .workload
            .jobs
            .last()
            .map_or(Millis(0), |j| j.arrives_at);
        let end = last + Millis::from(MAX_TIME_AFTER_ARRIVALS);
        while let Some((time, event)) = self.events.pop_first() {
            if time.at > end {
                break;
            }
            self.record_idle_until(time.at.min(last));
            self.now = time.at;
            self.handle_event(event);
            let next = self.events.first_key_value();
            if next.is_none_or(|(next, _)| next.at > self.now) {
                self.run_queue_pass();
            }
        }
        let open = self.job_progress.values();
        let open = open.filter(|c| c.finished_at.is_none() && !c.is_abandoned);
        self.result.unfinished_jobs = open.count() as u32;
        self.result
    }

    fn schedule_at(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        let number = self.next_sequence;
        self.next_sequence += 1;
        self.events.insert(
            EventTime {
                at,
                sequence: number,
            },
            event,
        );
    }

    fn schedule_after(
        &mut self,
        span: Duration,
        event: Event,
    ) {
        self.schedule_at(self.now + Millis::from(span), event);
    }

    fn handle_event(
        &mut self,
        event: Event,
    ) {
        match event {
            Event::Arrived(i) => self.arrive(i),
            Event::Cancelled(job) => self.cancel(job),
            Event::Finished { job, start } if self.is_current(job, start) => self.finish(job),
            Event::Failed { job, start, worker } if self.is_current(job, start) => {
                self.fail(job, worker);
            }
            Event::Preempted { job, start } if self.is_current(job, start) => {
                self.result.preemptions += 1;
                self.stop(job);
            }
            Event::Tick => self.is_tick_scheduled = false,
            Event::Finished { .. } | Event::Failed { .. } | Event::Preempted { .. } => {}
        }
    }

    fn is_current(
        &self,
        job: JobId,
        start: u32,
    ) -> bool {
        self.runs.get(&job).is_some_and(|r| r.start_number == start)
    }

    fn arrive(
        &mut self,
        i: usize,
    ) {
        let job = &self.workload.jobs[i];
        let course = ReplayProgress {
            remaining_run_time: job.run_time,
            ..ReplayProgress::default()
        };
        self.job_progress.insert(job.id, course);
        self.queue.add(WaitingJob {
            id: job.id,
            account: job.account.clone(),
            kind: job.kind.clone(),
            waiting_since: self.now,
            progress: Duration::ZERO,
        });
    }

    fn cancel(
        &mut self,
        job: JobId,
    ) {
        let course = self.job_progress.entry(job).or_default();
        if course.finished_at.is_none() && !course.is_abandoned {
            course.is_abandoned = true;
            self.runs.remove(&job);
            self.queue.remove(job);
        }
    }

    fn finish(
        &mut self,
        job: JobId,
    ) {
        self.runs.remove(&job);
        self.queue.finish(self.now, job);
        let arrived = self.job(job).arrives_at;
        self.job_progress.entry(job).or_default().finished_at = Some(self.now);
        self.result
            .completion_times
            .insert(job, self.now.since(arrived));
    }

    fn fail(
        &mut self,
        job: JobId,
        worker: usize,
    ) {
        self.runs.remove(&job);
        let workers = self.deployment.fleet.workers();
        let upstream = &workers[worker].upstream;
        self.queue
            .record_failure(self.now, job, upstream, workers.len());
        let attempts = self.job(job).kind.max_attempts;
        let can_work = !self.job(job).always_fails;
        let course = self.job_progress.entry(job).or_default();
        course.failure_count += 1;
        if course.failure_count < attempts {
            let progress = self.job(job).run_time - self.job_progress[&job].remaining_run_time;
            self.queue.requeue(job, progress);
            return;
        }
        course.is_abandoned = true;
        self.queue.remove(job);
        self.result.exhausted_jobs += u32::from(can_work);
    }

    /// Stops a running job, which keeps what it did if its kind is checkpointed.
    fn stop(
        &mut self,
        job: JobId,
    ) {
        let Some(run) = self.runs.remove(&job) else {
            return;
        };
        let whole = self.job(job).run_time;
        let checkpoints = self.job(job).kind.checkpoint;
        let now = self.now;
        let course = self.job_progress.entry(job).or_default();
        course.remaining_run_time = match checkpoints {
            true => course
                .remaining_run_time
                .saturating_sub(now.since(run.started_at)),
            false => whole,
        };
        let progress = whole - course.remaining_run_time;
        self.queue.requeue(job, progress);
    }

    fn run_queue_pass(&mut self) {
        let view = self.fleet_view();
        let outcome = self.queue.run_pass(PassCx {
            now: self.now,
            document: &self.document,
            mix: self.mix.clone(),
            policy: &*self.strategy.policy,
            rules: &*self.strategy.rules,
            view,
        });
        for job in outcome.preemptions {
            let start = self.runs.get(&job).map_or(0, |r| r.start_number);
            self.schedule_after(STOP_DURATION, Event::Preempted { job, start });
        }
        for start in outcome.starts {
            self.evict_borrowers(&start);
            self.start(&start);
        }
        if self.queue.waiting_len() > 0 && !self.is_tick_scheduled {
            self.is_tick_scheduled = true;
            self.schedule_after(PASS_INTERVAL, Event::Tick);
        }
    }

    /// Stops the borrowers whose accelerators a start takes.
    fn evict_borrowers(
        &mut self,
        start: &JobStart,
    ) {
        let fleet = &self.deployment.fleet;
        let overlaps = |r: &&RunningJob| {
            let mut held = r.held.iter();
            held.any(|h| {
                let mut taken = start.decision.allocations.iter();
                taken.any(|t| {
                    fleet.workers()[t.worker].upstream == h.upstream
                        && t.accelerators.intersects(h.accelerators)
                })
            })
        };
        let others = self.queue.running().filter(|r| r.id != start.job);
        let evicted: Vec<JobId> = others.filter(overlaps).map(|r| r.id).collect();
        for job in evicted {
            self.result.evictions += 1;
            self.stop(job);
        }
    }

    fn start(
        &mut self,
        start: &JobStart,
    ) {
        let id = start.job;
        let now = self.now;
        let spells = self.workload.fault_windows.iter();
        let mut spells = spells.filter(|s| s.starts_at <= now && now < s.ends_at);
        let bad = spells.find(|s| {
            start
                .decision
                .allocations
                .iter()
                .any(|t| t.worker == s.worker)
        });
        let bad = bad.map(|s| s.worker);
        let fails_everywhere = self.job(id).always_fails;
        let course = self.job_progress.entry(id).or_default();
        course.start_count += 1;
        let left = course.remaining_run_time;
        let run = Run {
            start_number: course.start_count,
            started_at: now,
        };
        let number = run.start_number;
        self.runs.insert(id, run);
        match bad.or(fails_everywhere.then_some(start.decision.allocations[0].worker)) {
            Some(worker) => self.schedule_after(
                FAILURE_DELAY,
                Event::Failed {
                    job: id,
                    start: number,
                    worker,
                },
            ),
            None => self.schedule_after(
                left,
                Event::Finished {
                    job: id,
                    start: number,
                },
            ),
        }
    }

    /// Returns the fleet with what is idle.
    fn fleet_view(&self) -> FleetView {
        let fleet = &self.deployment.fleet;
        let mut rooms: Vec<WorkerCapacity> = fleet
            .workers()
            .iter()
            .map(|worker| WorkerCapacity {
                idle: worker.accelerators,
                guaranteed: self.shares.on(&worker.upstream).to_vec(),
                ..WorkerCapacity::default()
            })
            .collect();
        for job in self.queue.running() {
            for held in &job.held {
                let Some(worker) = fleet.index_of(&held.upstream) else {
                    continue;
                };
                let room = &mut rooms[worker];
                room.idle = room.idle.without(held.accelerators);
                let own = GuaranteedShare::of_account(&room.guaranteed, &job.account);
                let others = GuaranteedShare::union_of(&room.guaranteed).without(own);
                if job.kind.is_evictable() {
                    let borrowed = held.accelerators.intersection(others);
                    room.evictable = room.evictable.union(borrowed);
                }
            }
        }
        FleetView {
            fleet: fleet.clone(),
            capacities: rooms,
        }
    }

    /// Counts what is idle between the last event and a time.
    fn record_idle_until(
        &mut self,
        until: Millis,
    ) {
        let span = until.since(self.now);
        if !span.is_zero() {
            let view = self.fleet_view();
            self.result
                .fragmentation
                .record(self.now, span, &view, &self.mix);
        }
    }

    fn job(
        &self,
        id: JobId,
    ) -> &ReplayJob {
        &self.workload.jobs[id.0 as usize - 1]
    }
}
