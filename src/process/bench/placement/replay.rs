//! One replay: arrivals, starts and ends in virtual time, decided by the real queue.

use {
    super::{
        Deployment, ReplayJob, ReplayResult, Strategy, Workload,
        replay_event::{Event, EventTime},
        replay_job::{Course, Run},
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
const TICK: Duration = Duration::from_secs(60);

/// How long a task runs on a bad worker, or a job that cannot work, before it fails.
const FAILS_AFTER: Duration = Duration::from_secs(20);

/// How long a job takes to be checkpointed and stopped.
const STOP_TIME: Duration = Duration::from_secs(3);

/// How long after the last arrival a replay ends at the latest.
const MAX_TAIL: Duration = Duration::from_secs(20 * 24 * 3600);

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
    next_number: u64,
    courses: BTreeMap<JobId, Course>,
    runs: BTreeMap<JobId, Run>,
    ticking: bool,
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
            shares: ShareIndex::from_layout(&layout),
            document,
            deployment,
            strategy,
            workload,
            queue: JobQueue::default(),
            now: Millis::default(),
            events: BTreeMap::new(),
            next_number: 0,
            courses: BTreeMap::new(),
            runs: BTreeMap::new(),
            ticking: false,
            result: ReplayResult::default(),
        };
        for (i, job) in workload.jobs.iter().enumerate() {
            replay.at(job.arrives, Event::Arrives(i));
            if let Some(at) = job.cancelled {
                replay.at(at, Event::Cancelled(job.id));
            }
        }
        replay
    }

    /// Runs to the end.
    pub fn run(mut self) -> ReplayResult {
        let last = self.workload.jobs.last().map_or(Millis(0), |j| j.arrives);
        let end = last + Millis::from(MAX_TAIL);
        while let Some((time, event)) = self.events.pop_first() {
            if time.at > end {
                break;
            }
            self.count_until(time.at.min(last));
            self.now = time.at;
            self.happen(event);
            let next = self.events.first_key_value();
            if next.is_none_or(|(next, _)| next.at > self.now) {
                self.take_turn();
            }
        }
        let open = self.courses.values();
        let open = open.filter(|c| c.finished.is_none() && !c.dropped);
        self.result.open = open.count() as u32;
        self.result
    }

    fn at(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        self.events.insert(EventTime { at, number }, event);
    }

    fn after(
        &mut self,
        span: Duration,
        event: Event,
    ) {
        self.at(self.now + Millis::from(span), event);
    }

    fn happen(
        &mut self,
        event: Event,
    ) {
        match event {
            Event::Arrives(i) => self.arrive(i),
            Event::Cancelled(job) => self.cancel(job),
            Event::Finishes { job, start } if self.is_current(job, start) => self.finish(job),
            Event::Fails { job, start, worker } if self.is_current(job, start) => {
                self.fail(job, worker);
            }
            Event::GivesWay { job, start } if self.is_current(job, start) => {
                self.result.gave_way += 1;
                self.stop(job);
            }
            Event::Tick => self.ticking = false,
            Event::Finishes { .. } | Event::Fails { .. } | Event::GivesWay { .. } => {}
        }
    }

    fn is_current(
        &self,
        job: JobId,
        start: u32,
    ) -> bool {
        self.runs.get(&job).is_some_and(|r| r.start == start)
    }

    fn arrive(
        &mut self,
        i: usize,
    ) {
        let job = &self.workload.jobs[i];
        let course = Course {
            left: job.run_time,
            ..Course::default()
        };
        self.courses.insert(job.id, course);
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
        let course = self.courses.entry(job).or_default();
        if course.finished.is_none() && !course.dropped {
            course.dropped = true;
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
        let arrived = self.job(job).arrives;
        self.courses.entry(job).or_default().finished = Some(self.now);
        self.result.completions.insert(job, self.now.since(arrived));
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
        let can_work = !self.job(job).fails;
        let course = self.courses.entry(job).or_default();
        course.failures += 1;
        if course.failures < attempts {
            let progress = self.job(job).run_time - self.courses[&job].left;
            self.queue.requeue(job, progress);
            return;
        }
        course.dropped = true;
        self.queue.remove(job);
        self.result.given_up += u32::from(can_work);
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
        let course = self.courses.entry(job).or_default();
        course.left = match checkpoints {
            true => course.left.saturating_sub(now.since(run.began)),
            false => whole,
        };
        let progress = whole - course.left;
        self.queue.requeue(job, progress);
    }

    fn take_turn(&mut self) {
        let view = self.view();
        let outcome = self.queue.run_pass(PassCx {
            now: self.now,
            document: &self.document,
            mix: self.mix.clone(),
            policy: &*self.strategy.policy,
            rules: &*self.strategy.rules,
            view,
        });
        for job in outcome.preemptions {
            let start = self.runs.get(&job).map_or(0, |r| r.start);
            self.after(STOP_TIME, Event::GivesWay { job, start });
        }
        for start in outcome.starts {
            self.evict_for(&start);
            self.start(&start);
        }
        if self.queue.waiting_len() > 0 && !self.ticking {
            self.ticking = true;
            self.after(TICK, Event::Tick);
        }
    }

    /// Stops the borrowers whose accelerators a start takes.
    fn evict_for(
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
        let spells = self.workload.bad_spells.iter();
        let mut spells = spells.filter(|s| s.from <= now && now < s.until);
        let bad = spells.find(|s| {
            start
                .decision
                .allocations
                .iter()
                .any(|t| t.worker == s.worker)
        });
        let bad = bad.map(|s| s.worker);
        let fails_everywhere = self.job(id).fails;
        let course = self.courses.entry(id).or_default();
        course.starts += 1;
        let left = course.left;
        let run = Run {
            start: course.starts,
            began: now,
        };
        let number = run.start;
        self.runs.insert(id, run);
        match bad.or(fails_everywhere.then_some(start.decision.allocations[0].worker)) {
            Some(worker) => self.after(
                FAILS_AFTER,
                Event::Fails {
                    job: id,
                    start: number,
                    worker,
                },
            ),
            None => self.after(
                left,
                Event::Finishes {
                    job: id,
                    start: number,
                },
            ),
        }
    }

    /// Returns the fleet with what is idle.
    fn view(&self) -> FleetView {
        let fleet = &self.deployment.fleet;
        let mut rooms: Vec<WorkerCapacity> = fleet
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
    fn count_until(
        &mut self,
        until: Millis,
    ) {
        let span = until.since(self.now);
        if !span.is_zero() {
            let view = self.view();
            self.result
                .fragmentation
                .count(self.now, span, &view, &self.mix);
        }
    }

    fn job(
        &self,
        id: JobId,
    ) -> &ReplayJob {
        &self.workload.jobs[id.0 as usize - 1]
    }
}
