//! Simulates arrivals, starts and ends of jobs in virtual time, with the system's own job queue.

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

/// The longest time between scheduling passes while jobs wait.
const PASS_INTERVAL: Duration = Duration::from_secs(60);

/// The run time after which a job fails on a faulty worker, or on any worker when it always fails.
const FAILURE_DELAY: Duration = Duration::from_secs(20);

/// The time that it takes to checkpoint and stop a preempted job.
const STOP_DURATION: Duration = Duration::from_secs(3);

/// The longest time that a replay continues after the last arrival.
const MAX_TIME_AFTER_ARRIVALS: Duration = Duration::from_secs(20 * 24 * 3600);

/// A simulation of one workload with one strategy.
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
    /// Creates a replay and schedules all arrivals and cancellations of its workload.
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
            shares: ShareIndex::from_layout(&layout),
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

    /// Runs the replay until no event is left, or until the time limit after the last
    /// arrival is reached.
    pub fn run(mut self) -> ReplayResult {
        let last_arrival = self
            .workload
            .jobs
            .last()
            .map_or(Millis(0), |j| j.arrives_at);
        let deadline = last_arrival + Millis::from(MAX_TIME_AFTER_ARRIVALS);
        while let Some((time, event)) = self.events.pop_first() {
            if time.at > deadline {
                break;
            }
            self.record_idle_until(time.at.min(last_arrival));
            self.now = time.at;
            self.handle_event(event);
            let next = self.events.first_key_value();
            if next.is_none_or(|(next, _)| next.at > self.now) {
                self.run_queue_pass();
            }
        }
        let unfinished = self.job_progress.values();
        let unfinished = unfinished.filter(|p| p.finished_at.is_none() && !p.is_abandoned);
        self.result.unfinished_jobs = unfinished.count() as u32;
        self.result
    }

    fn schedule_at(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.events.insert(EventTime { at, sequence }, event);
    }

    fn schedule_after(
        &mut self,
        delay: Duration,
        event: Event,
    ) {
        self.schedule_at(self.now + Millis::from(delay), event);
    }

    fn handle_event(
        &mut self,
        event: Event,
    ) {
        match event {
            Event::Arrived(i) => self.arrive(i),
            Event::Cancelled(job) => self.cancel(job),
            Event::Finished { job, start_number } if self.is_current(job, start_number) => {
                self.finish(job);
            }
            Event::Failed {
                job,
                start_number,
                worker,
            } if self.is_current(job, start_number) => {
                self.fail(job, worker);
            }
            Event::Preempted { job, start_number } if self.is_current(job, start_number) => {
                self.result.preemptions += 1;
                self.stop_job(job);
            }
            Event::Tick => self.is_tick_scheduled = false,
            Event::Finished { .. } | Event::Failed { .. } | Event::Preempted { .. } => {}
        }
    }

    fn is_current(
        &self,
        job: JobId,
        start_number: u32,
    ) -> bool {
        self.runs
            .get(&job)
            .is_some_and(|r| r.start_number == start_number)
    }

    fn arrive(
        &mut self,
        i: usize,
    ) {
        let job = &self.workload.jobs[i];
        let job_progress = ReplayProgress {
            remaining_run_time: job.run_time,
            ..ReplayProgress::default()
        };
        self.job_progress.insert(job.id, job_progress);
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
        let job_progress = self.job_progress.entry(job).or_default();
        if job_progress.finished_at.is_none() && !job_progress.is_abandoned {
            job_progress.is_abandoned = true;
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
        let max_attempts = self.job(job).kind.max_attempts;
        let can_succeed = !self.job(job).always_fails;
        let job_progress = self.job_progress.entry(job).or_default();
        job_progress.failure_count += 1;
        if job_progress.failure_count < max_attempts {
            let progress = self.job(job).run_time - self.job_progress[&job].remaining_run_time;
            self.queue.requeue(job, progress);
            return;
        }
        job_progress.is_abandoned = true;
        self.queue.remove(job);
        self.result.exhausted_jobs += u32::from(can_succeed);
    }

    /// Stops and requeues a running job. It keeps its progress if its kind is checkpointed, and
    /// starts from the beginning otherwise.
    fn stop_job(
        &mut self,
        job: JobId,
    ) {
        let Some(run) = self.runs.remove(&job) else {
            return;
        };
        let total = self.job(job).run_time;
        let checkpoints = self.job(job).kind.checkpoint;
        let now = self.now;
        let job_progress = self.job_progress.entry(job).or_default();
        job_progress.remaining_run_time = match checkpoints {
            true => job_progress
                .remaining_run_time
                .saturating_sub(now.since(run.started_at)),
            false => total,
        };
        let progress = total - job_progress.remaining_run_time;
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
            let start_number = self.runs.get(&job).map_or(0, |r| r.start_number);
            self.schedule_after(STOP_DURATION, Event::Preempted { job, start_number });
        }
        for start in outcome.starts {
            self.evict_borrowers(&start);
            self.start_job(&start);
        }
        if self.queue.waiting_len() > 0 && !self.is_tick_scheduled {
            self.is_tick_scheduled = true;
            self.schedule_after(PASS_INTERVAL, Event::Tick);
        }
    }

    /// Stops the running jobs that hold accelerators which are allocated to `start`.
    fn evict_borrowers(
        &mut self,
        start: &JobStart,
    ) {
        let fleet = &self.deployment.fleet;
        let overlaps = |r: &&RunningJob| {
            let mut held = r.held.iter();
            held.any(|h| {
                let mut allocations = start.decision.allocations.iter();
                allocations.any(|a| {
                    fleet.workers()[a.worker].upstream == h.upstream
                        && a.accelerators.intersects(h.accelerators)
                })
            })
        };
        let others = self.queue.running().filter(|r| r.id != start.job);
        let evicted: Vec<JobId> = others.filter(overlaps).map(|r| r.id).collect();
        for job in evicted {
            self.result.evictions += 1;
            self.stop_job(job);
        }
    }

    fn start_job(
        &mut self,
        start: &JobStart,
    ) {
        let id = start.job;
        let now = self.now;
        let windows = self.workload.fault_windows.iter();
        let mut windows = windows.filter(|w| w.starts_at <= now && now < w.ends_at);
        let fault = windows.find(|w| {
            start
                .decision
                .allocations
                .iter()
                .any(|a| a.worker == w.worker)
        });
        let faulty_worker = fault.map(|w| w.worker);
        let always_fails = self.job(id).always_fails;
        let job_progress = self.job_progress.entry(id).or_default();
        job_progress.start_count += 1;
        let remaining = job_progress.remaining_run_time;
        let run = Run {
            start_number: job_progress.start_count,
            started_at: now,
        };
        let number = run.start_number;
        self.runs.insert(id, run);
        match faulty_worker.or(always_fails.then_some(start.decision.allocations[0].worker)) {
            Some(worker) => self.schedule_after(
                FAILURE_DELAY,
                Event::Failed {
                    job: id,
                    start_number: number,
                    worker,
                },
            ),
            None => self.schedule_after(
                remaining,
                Event::Finished {
                    job: id,
                    start_number: number,
                },
            ),
        }
    }

    /// Returns the fleet with the idle, guaranteed and evictable accelerators of each worker.
    fn fleet_view(&self) -> FleetView {
        let fleet = &self.deployment.fleet;
        let mut worker_capacities: Vec<WorkerCapacity> = fleet
            .workers()
            .iter()
            .map(|worker| WorkerCapacity {
                idle: worker.accelerators,
                guaranteed: self.shares.shares_on(&worker.upstream).to_vec(),
                ..WorkerCapacity::default()
            })
            .collect();
        for job in self.queue.running() {
            for held in &job.held {
                let Some(worker) = fleet.index_of(&held.upstream) else {
                    continue;
                };
                let capacity = &mut worker_capacities[worker];
                capacity.idle = capacity.idle.without(held.accelerators);
                let own_guarantee = GuaranteedShare::of_account(&capacity.guaranteed, &job.account);
                let other_guarantees =
                    GuaranteedShare::union_of(&capacity.guaranteed).without(own_guarantee);
                if job.kind.is_evictable() {
                    let borrowed = held.accelerators.intersection(other_guarantees);
                    capacity.evictable = capacity.evictable.union(borrowed);
                }
            }
        }
        FleetView {
            fleet: fleet.clone(),
            capacities: worker_capacities,
        }
    }

    /// Records the idle accelerators from the last event until `until`.
    fn record_idle_until(
        &mut self,
        until: Millis,
    ) {
        let duration = until.since(self.now);
        if !duration.is_zero() {
            let view = self.fleet_view();
            self.result
                .fragmentation
                .record(self.now, duration, &view, &self.mix);
        }
    }

    fn job(
        &self,
        id: JobId,
    ) -> &ReplayJob {
        &self.workload.jobs[id.0 as usize - 1]
    }
}
