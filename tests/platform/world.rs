//! A simulation in virtual time: the real scheduler and the guards' real state, with simulated
//! workers, a ledger in memory and a faulty network.

use {
    super::oracle::{ObservedEnd, Oracle},
    limpetquay::{
        connection::{
            EndKind, GuardOrders, GuardReport, RunStart, StartRefusal, WorkerIncarnation,
        },
        platform::stand_in::{PlannedOutcome, WorkerModel},
        prelude::*,
        process::{
            ledger::JobView,
            runs::{
                PollRequest, PollResponse, RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo,
                WorkerOrder,
            },
            scheduler::{LeaseTerms, RackFirstPlacement, Scheduler},
        },
        request::{JobPhase, JobProgress, Resources, RunRef, Step, StepJob, StepJobId},
        version::{QueueName, QueueTable},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::{BTreeMap, BTreeSet},
};

pub const CAPACITY: Resources = Resources {
    cpu_milli: 128_000,
    memory_mb: 262_144,
    accelerators: 8,
};
const MAX_LEASE_MS: u64 = 6000;
const STOP_DURATION_MS: u64 = 200;
const TICK_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 700;
const LEDGER_READ_DELAY_MS: u64 = 120;
const GANG_TIMEOUT_MS: u64 = 3000;
const GANG_WORK_MS: u64 = 2000;
/// The work of a single gang member, which ends only with its gang.
const ENDLESS_MS: u64 = 1_000_000_000;

/// The faults of a scenario, each as a probability in ten-thousandths per tick or call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub session_breaks: u32,
    pub guard_restarts: u32,
    pub worker_crashes: u32,
    pub takeovers: u32,
    pub partitions: u32,
    pub pauses: u32,
    pub store_outages: u32,
    pub cancels: u32,
    pub lost_answers: u32,
    pub late_orders: u32,
    pub failing_runs: u32,
}

enum Event {
    LedgerUpdate {
        view: JobView,
    },
    Orders {
        guard: usize,
        session: u64,
        orders: GuardOrders,
    },
    Report {
        guard: usize,
        session: u64,
        term: u64,
        report: GuardReport,
    },
    Start {
        guard: usize,
        incarnation: u64,
        boot: u64,
        token: u64,
        deadline: u64,
        start: RunStart,
        is_answered: bool,
    },
    StartAnswer {
        guard: usize,
        boot: u64,
        incarnation: u64,
        token: u64,
        run: RunRef,
        result: Result<(), Option<StartRefusal>>,
    },
    Stop {
        guard: usize,
        incarnation: u64,
        boot: u64,
        token: u64,
        run: RunRef,
    },
    Poll {
        guard: usize,
        incarnation: u64,
        boot: u64,
        sent: u64,
        call: PollRequest,
        is_answered: bool,
    },
    PollResponse {
        guard: usize,
        boot: u64,
        incarnation: u64,
        token: u64,
        sent: u64,
        answer: Option<PollResponse>,
    },
}

struct GuardSim {
    name: UpstreamName,
    boot: u64,
    tracker: RunTracker,
    worker: WorkerModel,
    incarnation: u64,
    up_from: u64,
    partitioned_until: u64,
    paused_until: u64,
    is_polling: bool,
    next_poll_at: u64,
    reported_at: u64,
    has_changes: bool,
    heartbeats: u64,
    rack: Arc<str>,
    /// Whether the worker was lost for good: it sends nothing and answers nothing.
    is_worker_lost: bool,
}

/// The state of one start of a gang.
#[derive(Default)]
struct Gang {
    first_run_at: u64,
    complete_since: Option<u64>,
    has_ended: bool,
}

struct SchedulerSim {
    scheduler: Scheduler,
    /// By guard: the session number, its token, and when its last message was sent.
    sessions: BTreeMap<usize, (u64, u64, u64)>,
    next_session: u64,
    retire_at: u64,
    /// Until when the scheduler reaches neither the store nor the guards.
    cut_until: u64,
}

/// A simulated system with its observer.
pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub faults: Faults,
    pub oracle: Oracle,
    pub log: Vec<String>,
    guards: Vec<GuardSim>,
    schedulers: Vec<SchedulerSim>,
    term: u64,
    next_incarnation: u64,
    ledger: BTreeMap<StepJobId, JobView>,
    offset: u64,
    store_down_until: u64,
    /// The configuration in force, which every scheduler has read.
    pub queue_table: Option<Rc<QueueTable>>,
    /// The evacuated data centres, which every scheduler has read; `None` while no scheduler has
    /// read them.
    pub evacuated: Option<Rc<BTreeSet<DataCentre>>>,
    /// How long a complete gang works, in milliseconds.
    pub gang_work_ms: u64,
    /// How long the subtasks of some jobs work, in milliseconds, also of gangs.
    pub work_ms_by_job: BTreeMap<StepJobId, u64>,
    gangs: BTreeMap<(StepJobId, u16, u64), Gang>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
}

impl World {
    pub fn new(
        seed: u64,
        guards: usize,
        faults: Faults,
    ) -> Self {
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            faults,
            oracle: Oracle::default(),
            log: Vec::new(),
            guards: Vec::new(),
            schedulers: Vec::new(),
            term: 0,
            next_incarnation: 0,
            ledger: BTreeMap::new(),
            offset: 10,
            store_down_until: 0,
            queue_table: None,
            evacuated: Some(Rc::default()),
            gang_work_ms: GANG_WORK_MS,
            work_ms_by_job: BTreeMap::new(),
            gangs: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
        };
        for i in 0..guards {
            world.next_incarnation += 1;
            world.guards.push(GuardSim {
                name: UpstreamName::from(format!("guard-{i}").as_str()),
                boot: 0,
                tracker: RunTracker::default(),
                worker: WorkerModel::new(MAX_LEASE_MS, STOP_DURATION_MS),
                incarnation: world.next_incarnation,
                up_from: 0,
                partitioned_until: 0,
                paused_until: 0,
                is_polling: false,
                next_poll_at: 0,
                reported_at: 0,
                has_changes: true,
                heartbeats: 0,
                rack: "r1".into(),
                is_worker_lost: false,
            });
        }
        world.take_over();
        world
    }

    /// Sets the data centre of a guard's machine, and its rack to one of the same name.
    pub fn set_data_centre(
        &mut self,
        guard: usize,
        data_centre: &str,
    ) {
        self.guards[guard].tracker.data_centre = Some(DataCentre::from(data_centre));
        self.guards[guard].rack = data_centre.into();
    }

    /// Sets the rack of a guard's worker.
    pub fn set_rack(
        &mut self,
        guard: usize,
        rack: &str,
    ) {
        self.guards[guard].rack = rack.into();
    }

    /// Sets the evacuated data centres.
    pub fn evacuate(
        &mut self,
        data_centres: &[&str],
    ) {
        let names = data_centres.iter().copied().map(DataCentre::from);
        self.evacuated = Some(Rc::new(names.collect()));
    }

    /// Returns the number of runs on a guard's worker.
    pub fn running_on(
        &self,
        guard: usize,
    ) -> usize {
        self.guards[guard].worker.runs.len()
    }

    /// Submits a job and returns its id.
    pub fn submit(
        &mut self,
        steps: Vec<Step>,
        priority: u32,
        attempts: u32,
    ) -> StepJobId {
        self.submit_for("account", steps, priority, attempts)
    }

    /// Submits a job of an account and returns its id.
    pub fn submit_for(
        &mut self,
        account: &str,
        steps: Vec<Step>,
        priority: u32,
        attempts: u32,
    ) -> StepJobId {
        let id = StepJobId::from_number(self.offset);
        let job = StepJob {
            id,
            queue: QueueName::from("queue"),
            account: AccountName::from(account),
            service: "service".into(),
            priority,
            attempts,
            stretch_percent: 300,
            target_ms: 1000,
            payload: "payload".into(),
            steps,
            recurrence: None,
            accepted_ms: self.now,
        };
        self.oracle.jobs.insert(id, job.clone());
        let view = JobView {
            memory_bytes: 0,
            job: Rc::new(job),
            offset: self.offset,
            progress: JobProgress::default(),
            is_cancelled: false,
            is_cancelled_early: false,
            ended_at: None,
        };
        self.offset += 1;
        // A scheduler reads the ledger in order, so a superseded one reads the later claim before
        // this job.
        let term = self.term;
        for sim in self
            .schedulers
            .iter_mut()
            .filter(|sim| sim.scheduler.term == term)
        {
            sim.scheduler.apply_job(&view);
        }
        self.ledger.insert(id, view);
        id
    }

    /// Cancels a job; all schedulers read that at once.
    pub fn cancel(
        &mut self,
        id: StepJobId,
    ) {
        if let Some(view) = self.ledger.get_mut(&id) {
            view.is_cancelled = true;
            self.oracle.cancelled.insert(id);
            for sim in &mut self.schedulers {
                sim.scheduler.apply_job(view);
            }
        }
    }

    /// Returns a job with its recorded progress.
    pub fn progress(
        &self,
        id: StepJobId,
    ) -> &JobView {
        &self.ledger[&id]
    }

    /// Describes the current scheduler's view of a job and its workers.
    pub fn describe(
        &self,
        id: StepJobId,
    ) -> String {
        let Some(sim) = self.schedulers.last() else {
            return "no scheduler".to_owned();
        };
        let active = sim.scheduler.jobs.get(&id).map(|j| &j.active_units);
        let upstreams = sim.scheduler.upstreams.iter().map(|(name, u)| {
            let runs: Vec<String> = u
                .runs
                .iter()
                .map(|(r, p)| {
                    format!(
                        "{r} {:?} stopping {} ordered in message {}",
                        p.phase, p.is_stopping, p.order_message_number
                    )
                })
                .collect();
            format!(
                "{name} connected {} reported {} unresponsive {} ms avoided until {:?}: {runs:?}",
                u.is_connected, u.has_session_report, u.unresponsive_ms, u.avoid_until
            )
        });
        format!("{active:?}; {}", upstreams.collect::<Vec<_>>().join("; "))
    }

    /// Returns the number of runs on all workers.
    pub fn running(&self) -> usize {
        self.guards.iter().map(|g| g.worker.runs.len()).sum()
    }

    /// Advances the simulation by a span in milliseconds.
    pub fn run_for(
        &mut self,
        span: u64,
    ) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_MS;
            self.deliver();
            self.inject_faults();
            self.tick_guards();
            self.tick_schedulers();
            self.observe();
        }
    }

    /// Stops all faults, ends all outages and advances the simulation by a span in milliseconds.
    pub fn settle(
        &mut self,
        span: u64,
    ) {
        self.faults = Faults::default();
        self.store_down_until = 0;
        for guard in &mut self.guards {
            guard.partitioned_until = 0;
            guard.paused_until = 0;
        }
        self.run_for(span);
    }

    /// Breaks the sessions of a guard with all schedulers.
    pub fn break_session(
        &mut self,
        guard: usize,
    ) {
        for sim in &mut self.schedulers {
            if sim.sessions.remove(&guard).is_some() {
                sim.scheduler.close_session(&self.guards[guard].name);
            }
        }
    }

    /// Restarts a guard's process, which is down for `down` milliseconds.
    pub fn restart_guard(
        &mut self,
        guard: usize,
        down: u64,
    ) {
        self.log_event(format!("guard {guard} restarts"));
        self.break_session(guard);
        let g = &mut self.guards[guard];
        g.boot += 1;
        let before = std::mem::take(&mut g.tracker);
        g.tracker.data_centre = before.data_centre;
        g.up_from = self.now + down;
        g.is_polling = false;
        g.heartbeats = 0;
    }

    /// Crashes a worker; its next incarnation starts at once.
    pub fn crash_worker(
        &mut self,
        guard: usize,
    ) {
        self.log_event(format!("worker {guard} crashes"));
        self.next_incarnation += 1;
        let g = &mut self.guards[guard];
        g.worker.advance(self.now);
        self.oracle.record_crash(g.incarnation);
        g.worker = WorkerModel::new(MAX_LEASE_MS, STOP_DURATION_MS);
        g.incarnation = self.next_incarnation;
        g.heartbeats = 0;
        g.is_polling = false;
    }

    /// Ends a worker for good. Its guard runs on.
    pub fn lose_worker(
        &mut self,
        guard: usize,
    ) {
        self.crash_worker(guard);
        self.guards[guard].is_worker_lost = true;
    }

    /// Partitions a guard from all schedulers for a span in milliseconds.
    pub fn partition_guard(
        &mut self,
        guard: usize,
        span: u64,
    ) {
        self.guards[guard].partitioned_until = self.now + span;
        self.break_session(guard);
    }

    /// Pauses a guard's process for a span in milliseconds.
    pub fn pause_guard(
        &mut self,
        guard: usize,
        span: u64,
    ) {
        self.guards[guard].paused_until = self.now + span;
    }

    /// Makes the store unavailable for a span in milliseconds.
    pub fn stop_store(
        &mut self,
        span: u64,
    ) {
        self.store_down_until = self.now + span;
    }

    /// Stops all schedulers without a successor.
    pub fn stop_schedulers(&mut self) {
        self.schedulers.clear();
    }

    /// Cuts the current scheduler off from the store and all guards for a span in milliseconds.
    pub fn cut_scheduler(
        &mut self,
        span: u64,
    ) {
        let now = self.now;
        if let Some(sim) = self.schedulers.last_mut() {
            sim.cut_until = now + span;
            for guard in std::mem::take(&mut sim.sessions).into_keys() {
                sim.scheduler.close_session(&self.guards[guard].name);
            }
        }
    }

    /// Starts a scheduler with a higher term; earlier ones run on until they have read that: for up
    /// to 800 ms, or 300 ms after the end of their cut.
    pub fn take_over(&mut self) {
        self.term = self.offset + 1;
        self.offset += 1;
        self.log_event(format!("term {} begins", self.term));
        for sim in &mut self.schedulers {
            let read_at = (self.now + 800).max(sim.cut_until + 300);
            sim.retire_at = sim.retire_at.min(read_at);
        }
        // The new scheduler has read the whole ledger up to its claim.
        self.events
            .retain(|_, event| !matches!(event, Event::LedgerUpdate { .. }));
        let guards: BTreeSet<UpstreamName> = self.guards.iter().map(|g| g.name.clone()).collect();
        let leases = LeaseTerms::new(Millis(MAX_LEASE_MS));
        let mut scheduler = Scheduler::new(
            self.term,
            leases,
            3,
            Box::new(RackFirstPlacement),
            guards,
            Millis(self.now),
        );
        for view in self.ledger.values() {
            scheduler.apply_job(view);
        }
        self.schedulers.push(SchedulerSim {
            scheduler,
            sessions: BTreeMap::new(),
            next_session: 0,
            retire_at: u64::MAX,
            cut_until: 0,
        });
    }

    fn log_event(
        &mut self,
        text: String,
    ) {
        self.log.push(format!("{}: {text}", self.now));
    }

    fn chance(
        &mut self,
        per_ten_thousand: u32,
    ) -> bool {
        per_ten_thousand > 0 && self.rng.random_range(0..10_000) < per_ten_thousand
    }

    fn schedule(
        &mut self,
        delay: u64,
        event: Event,
    ) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    fn inject_faults(&mut self) {
        let f = self.faults;
        let guard = self.rng.random_range(0..self.guards.len());
        if self.chance(f.session_breaks) {
            self.break_session(guard);
        }
        if self.chance(f.guard_restarts) {
            let down = self.rng.random_range(100..4000);
            self.restart_guard(guard, down);
        }
        if self.chance(f.worker_crashes) {
            self.crash_worker(guard);
        }
        if self.chance(f.takeovers) {
            self.take_over();
        }
        if self.chance(f.partitions) {
            self.guards[guard].partitioned_until = self.now + self.rng.random_range(500..16_000);
            self.log_event(format!("guard {guard} is partitioned"));
            self.break_session(guard);
        }
        if self.chance(f.pauses) {
            let until = self.now + self.rng.random_range(500..9000);
            let g = &mut self.guards[guard];
            g.paused_until = g.paused_until.max(until);
            self.log_event(format!("guard {guard} is paused"));
        }
        if self.chance(f.store_outages) {
            self.store_down_until = self.now + self.rng.random_range(500..8000);
        }
        if self.chance(f.cancels) {
            let open = self.ledger.values().filter(|v| !v.phase().is_final());
            let open: Vec<StepJobId> = open.map(|v| v.job.id).collect();
            if !open.is_empty() {
                let id = open[self.rng.random_range(0..open.len())];
                self.cancel(id);
            }
        }
    }

    fn is_awake(
        &self,
        guard: usize,
    ) -> bool {
        let g = &self.guards[guard];
        g.up_from <= self.now && g.paused_until <= self.now
    }

    fn deliver(&mut self) {
        while let Some((key, _)) = self.events.first_key_value()
            && key.0 <= self.now
        {
            let key = *key;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
    }

    /// Handles an event, or defers it while the guard that receives it is paused.
    fn handle(
        &mut self,
        event: Event,
    ) {
        let paused_until = match &event {
            Event::Orders { guard, .. }
            | Event::StartAnswer { guard, .. }
            | Event::PollResponse { guard, .. } => self.guards[*guard].paused_until,
            _ => 0,
        };
        if paused_until > self.now {
            let delay = paused_until - self.now;
            self.schedule(delay, event);
            return;
        }
        match event {
            Event::LedgerUpdate { view } => self.apply_ledger_update(&view),
            Event::Orders {
                guard,
                session,
                orders,
            } => self.handle_orders(guard, session, &orders),
            Event::Report {
                guard,
                session,
                term,
                report,
            } => self.handle_report(guard, session, term, report),
            Event::Start {
                guard,
                incarnation,
                boot,
                token,
                deadline,
                start,
                is_answered,
            } => {
                if self.guards[guard].incarnation != incarnation {
                    return;
                }
                let outcome = self.outcome(start.run);
                let now = self.now;
                let result = self.guards[guard]
                    .worker
                    .start(now, token, deadline, &start, outcome);
                if is_answered {
                    let result = result.map_err(Some);
                    self.schedule(
                        1,
                        Event::StartAnswer {
                            guard,
                            boot,
                            incarnation,
                            token,
                            run: start.run,
                            result,
                        },
                    );
                }
            }
            Event::StartAnswer {
                guard,
                boot,
                incarnation,
                token,
                run,
                result,
            } => {
                let now = self.now;
                let g = &mut self.guards[guard];
                if g.boot != boot
                    || g.incarnation != incarnation
                    || !g.tracker.is_current_token(token)
                {
                    return;
                }
                g.has_changes = true;
                match result {
                    Ok(()) => g.tracker.confirm_start(run, Millis(now)),
                    Err(Some(reason)) => g.tracker.refuse_start(run, reason),
                    Err(None) => {
                        let _known = g.tracker.begin_stop(run);
                        self.schedule(
                            1,
                            Event::Stop {
                                guard,
                                incarnation,
                                boot,
                                token,
                                run,
                            },
                        );
                    }
                }
            }
            Event::Stop {
                guard,
                incarnation,
                boot,
                token,
                run,
            } => self.handle_stop(guard, incarnation, boot, token, run),
            Event::Poll {
                guard,
                incarnation,
                boot,
                sent,
                call,
                is_answered,
            } => {
                if self.guards[guard].incarnation != incarnation {
                    return;
                }
                let now = self.now;
                let answer = self.guards[guard].worker.poll(now, &call).ok();
                if is_answered {
                    self.schedule(
                        1,
                        Event::PollResponse {
                            guard,
                            boot,
                            incarnation,
                            token: call.token,
                            sent,
                            answer,
                        },
                    );
                }
            }
            Event::PollResponse {
                guard,
                boot,
                incarnation,
                token,
                sent,
                answer,
            } => {
                let now = self.now;
                let g = &mut self.guards[guard];
                if g.boot != boot || g.incarnation != incarnation {
                    return;
                }
                g.is_polling = false;
                g.next_poll_at = now + 60;
                if let Some(answer) = answer {
                    g.has_changes |= g
                        .tracker
                        .apply_poll(token, Millis(sent), Millis(now), answer);
                }
            }
        }
    }

    fn apply_ledger_update(
        &mut self,
        view: &JobView,
    ) {
        let term = self.term;
        for sim in self
            .schedulers
            .iter_mut()
            .filter(|sim| sim.scheduler.term == term)
        {
            sim.scheduler.apply_job(view);
        }
    }

    fn outcome(
        &mut self,
        run: RunRef,
    ) -> PlannedOutcome {
        if self.is_gang(run) {
            return PlannedOutcome {
                kind: EndKind::Done,
                work_ms: ENDLESS_MS,
                save_interval_ms: 500,
            };
        }
        let fails = self.chance(self.faults.failing_runs);
        PlannedOutcome {
            kind: if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            },
            work_ms: match self.work_ms_by_job.get(&run.subtask.job) {
                Some(work_ms) => *work_ms,
                None => self.rng.random_range(300..6000),
            },
            save_interval_ms: 500,
        }
    }

    fn handle_stop(
        &mut self,
        guard: usize,
        incarnation: u64,
        boot: u64,
        token: u64,
        run: RunRef,
    ) {
        let is_answered = !self.chance(self.faults.lost_answers);
        let now = self.now;
        let g = &mut self.guards[guard];
        if g.incarnation != incarnation || g.boot != boot || g.tracker.highest_token != token {
            return;
        }
        let result = g.worker.stop(now, token, run);
        if result.is_ok() && is_answered {
            g.tracker.confirm_stop(run, Millis(now));
            g.has_changes = true;
        } else {
            self.schedule(
                CALL_TIMEOUT_MS,
                Event::Stop {
                    guard,
                    incarnation,
                    boot,
                    token,
                    run,
                },
            );
        }
    }

    fn handle_orders(
        &mut self,
        guard: usize,
        session: u64,
        orders: &GuardOrders,
    ) {
        let is_open = self.schedulers.iter().any(|sim| {
            sim.sessions
                .get(&guard)
                .is_some_and(|s| s.0 == session && s.1 == orders.token)
        });
        if !is_open || !self.is_awake(guard) {
            return;
        }
        let now = Millis(self.now);
        let (incarnation, boot, token) = (
            self.guards[guard].incarnation,
            self.guards[guard].boot,
            orders.token,
        );
        let tracker = &mut self.guards[guard].tracker;
        if orders.number == 1 && !tracker.open_session(token) || tracker.highest_token != token {
            return;
        }
        let calls = tracker.apply_orders(orders, now);
        let deadline = tracker.deadline_ms(now);
        let worker_incarnation = tracker.worker.as_ref().map(|w| w.life.started_at_ms);
        self.guards[guard].has_changes = true;
        for call in calls {
            match call {
                WorkerOrder::Stop(run) => self.schedule(
                    1,
                    Event::Stop {
                        guard,
                        incarnation: worker_incarnation.unwrap_or(incarnation),
                        boot,
                        token,
                        run,
                    },
                ),
                WorkerOrder::Start(start) => self.send_start(
                    guard,
                    worker_incarnation.unwrap_or(incarnation),
                    boot,
                    token,
                    deadline,
                    start,
                ),
            }
        }
    }

    fn send_start(
        &mut self,
        guard: usize,
        incarnation: u64,
        boot: u64,
        token: u64,
        deadline: Option<u64>,
        start: RunStart,
    ) {
        let run = start.run;
        let Some(deadline) = deadline else {
            self.guards[guard]
                .tracker
                .refuse_start(run, StartRefusal::Late);
            return;
        };
        let late = self.chance(self.faults.late_orders);
        let lost = late || self.chance(self.faults.lost_answers);
        let delay = if late {
            self.rng.random_range(2000..12_000)
        } else {
            self.rng.random_range(1..30)
        };
        self.schedule(
            delay,
            Event::Start {
                guard,
                incarnation,
                boot,
                token,
                deadline,
                start,
                is_answered: !lost,
            },
        );
        if lost {
            self.schedule(
                CALL_TIMEOUT_MS,
                Event::StartAnswer {
                    guard,
                    boot,
                    incarnation,
                    token,
                    run,
                    result: Err(None),
                },
            );
        }
    }

    fn handle_report(
        &mut self,
        guard: usize,
        session: u64,
        term: u64,
        report: GuardReport,
    ) {
        let name = self.guards[guard].name.clone();
        let now = Millis(self.now);
        for sim in self
            .schedulers
            .iter_mut()
            .filter(|sim| sim.scheduler.term == term)
        {
            let is_open = sim.sessions.get(&guard).is_some_and(|s| s.0 == session);
            if is_open && report.highest_token == report.token {
                sim.scheduler.apply_report(&name, report.clone(), now);
            }
        }
    }

    fn tick_guards(&mut self) {
        for guard in 0..self.guards.len() {
            if !self.is_awake(guard) {
                continue;
            }
            self.send_heartbeat(guard);
            self.poll_worker(guard);
            self.send_report(guard);
        }
    }

    fn send_heartbeat(
        &mut self,
        guard: usize,
    ) {
        let g = &mut self.guards[guard];
        if g.is_worker_lost {
            return;
        }
        g.heartbeats += 1;
        let heartbeat = WorkerHeartbeat {
            worker: WorkerAddress {
                address: "worker".into(),
                life: WorkerIncarnation {
                    id: g.incarnation.to_string().into(),
                    started_at_ms: g.incarnation,
                },
            },
            sequence: g.heartbeats,
            info: WorkerInfo {
                service: "service".into(),
                capacity: CAPACITY,
                labels: vec!["a".into(), g.rack.clone()],
                leaving_ms: None,
            },
        };
        g.has_changes |= g.tracker.apply_heartbeat(heartbeat, Millis(self.now));
    }

    fn poll_worker(
        &mut self,
        guard: usize,
    ) {
        let now = self.now;
        let is_answered = !self.chance(self.faults.lost_answers);
        let g = &mut self.guards[guard];
        let Some(session) = g.tracker.session else {
            return;
        };
        if g.is_worker_lost || g.is_polling || g.next_poll_at > now {
            return;
        }
        g.is_polling = true;
        let call = PollRequest {
            token: session.token,
            acknowledged_end: g.tracker.acknowledged_end,
            deadline_ms: g.tracker.deadline_ms(Millis(now)),
            wait: Duration::ZERO,
        };
        let (incarnation, boot) = (g.incarnation, g.boot);
        let delay = self.rng.random_range(1..30);
        self.schedule(
            delay,
            Event::Poll {
                guard,
                incarnation,
                boot,
                sent: now,
                call,
                is_answered,
            },
        );
        if !is_answered {
            let token = call.token;
            self.schedule(
                CALL_TIMEOUT_MS,
                Event::PollResponse {
                    guard,
                    boot,
                    incarnation,
                    token,
                    sent: now,
                    answer: None,
                },
            );
        }
    }

    fn send_report(
        &mut self,
        guard: usize,
    ) {
        let now = self.now;
        let g = &mut self.guards[guard];
        if g.partitioned_until > now || !(g.has_changes || now - g.reported_at >= 400) {
            return;
        }
        g.has_changes = false;
        g.reported_at = now;
        let report = g.tracker.report(Millis(now));
        let open = self.schedulers.iter().find_map(|sim| {
            let session = sim.sessions.get(&guard)?;
            (session.1 == report.token).then_some((session.0, sim.scheduler.term))
        });
        if let Some((session, term)) = open {
            self.schedule(
                20,
                Event::Report {
                    guard,
                    session,
                    term,
                    report,
                },
            );
        }
    }

    fn tick_schedulers(&mut self) {
        let now = self.now;
        self.schedulers.retain(|sim| sim.retire_at > now);
        let is_store_up = self.store_down_until <= now;
        for i in 0..self.schedulers.len() {
            self.connect(i);
            self.schedulers[i]
                .scheduler
                .queue_table
                .clone_from(&self.queue_table);
            self.schedulers[i]
                .scheduler
                .set_evacuated(self.evacuated.clone());
            self.schedulers[i]
                .scheduler
                .run_pass(Millis(now), Millis(now));
            let is_cut = self.schedulers[i].cut_until > now;
            if is_store_up && !is_cut && self.schedulers[i].scheduler.term == self.term {
                self.record_progress(i);
            }
            self.send_orders(i);
        }
    }

    /// Returns the offset of a guard's connection attempts in milliseconds; the second guard is
    /// reached half a period after the others.
    fn connect_offset(
        &self,
        guard: usize,
    ) -> u64 {
        if guard == 1 { 120 } else { 0 }
    }

    fn connect(
        &mut self,
        index: usize,
    ) {
        for guard in 0..self.guards.len() {
            let is_reached = self.guards[guard].partitioned_until <= self.now
                && self.guards[guard].up_from <= self.now;
            let is_due = (self.now + self.connect_offset(guard)).is_multiple_of(240);
            let sim = &mut self.schedulers[index];
            // A scheduler that was cut off has not read the later term when it reconnects.
            let connects = sim.scheduler.term == self.term || sim.cut_until > 0;
            let is_cut = sim.cut_until > self.now;
            let is_due = is_due || sim.cut_until == self.now;
            let has_session = sim.sessions.contains_key(&guard);
            if !is_reached || !connects || is_cut || has_session || !is_due {
                continue;
            }
            sim.next_session += 1;
            let token = (sim.scheduler.term << 16) + sim.next_session;
            sim.sessions.insert(guard, (sim.next_session, token, 0));
            let name = &self.guards[guard].name;
            sim.scheduler
                .set_stored_registration(name, Some(0), Millis(self.now));
            sim.scheduler.open_session(name);
        }
    }

    /// Checks that a job which is recorded as running has a subtask that was started; otherwise the
    /// number of pending jobs would be too low.
    fn check_phase(
        &mut self,
        id: StepJobId,
        phase: JobPhase,
    ) {
        let starts = self.oracle.starts.iter().map(|(_, run)| run);
        let mut started = starts.chain(self.oracle.ends.iter().map(|e| &e.run));
        if phase == JobPhase::Running && !started.any(|run| run.subtask.job == id) {
            let now = self.now;
            self.oracle.violations.push(format!(
                "{now}: {id} is recorded as running before any start"
            ));
        }
    }

    fn record_progress(
        &mut self,
        index: usize,
    ) {
        let sent_at = Millis(self.now);
        self.schedulers[index].scheduler.confirm_leadership(sent_at);
        let unrecorded: Vec<(StepJobId, u64)> =
            self.schedulers[index].scheduler.unrecorded_jobs().collect();
        for (id, _) in unrecorded {
            let progress = self.schedulers[index].scheduler.progress_to_record(id);
            let Some((change, progress)) = progress else {
                continue;
            };
            self.check_phase(id, progress.phase);
            if let Some(view) = self.ledger.get_mut(&id) {
                view.progress = progress;
                // The writer reads its own record after a delay, like every other reader.
                let view = view.clone();
                self.schedule(LEDGER_READ_DELAY_MS, Event::LedgerUpdate { view });
            }
            self.schedulers[index].scheduler.mark_recorded(id, change);
        }
        self.schedulers[index].scheduler.advance_acknowledged_ends();
    }

    fn send_orders(
        &mut self,
        index: usize,
    ) {
        let now = self.now;
        let open: Vec<usize> = self.schedulers[index].sessions.keys().copied().collect();
        for guard in open {
            let name = self.guards[guard].name.clone();
            let sim = &mut self.schedulers[index];
            let Some(session) = sim.sessions.get_mut(&guard) else {
                continue;
            };
            if !sim.scheduler.has_orders(&name) && now - session.2 < 200 && session.2 > 0 {
                continue;
            }
            session.2 = now;
            let (number, token) = (session.0, session.1);
            let orders = sim.scheduler.next_message(&name, token);
            if self.guards[guard].partitioned_until <= now {
                self.schedule(
                    20,
                    Event::Orders {
                        guard,
                        session: number,
                        orders,
                    },
                );
            }
        }
    }

    fn is_gang(
        &self,
        run: RunRef,
    ) -> bool {
        let job = self.oracle.jobs.get(&run.subtask.job);
        job.is_some_and(|j| j.steps[usize::from(run.subtask.step)].gang)
    }

    /// Lets complete gangs work, and ends the remaining members of incomplete ones.
    fn tick_gangs(&mut self) {
        let now = self.now;
        let mut members_by_gang: BTreeMap<(StepJobId, u16, u64), BTreeSet<u32>> = BTreeMap::new();
        for g in &self.guards {
            let jobs = &self.oracle.jobs;
            let is_gang = |r: &&RunRef| {
                jobs.get(&r.subtask.job)
                    .is_some_and(|j| j.steps[usize::from(r.subtask.step)].gang)
            };
            for run in g.worker.runs.keys().filter(is_gang) {
                let key = (run.subtask.job, run.subtask.step, run.run);
                members_by_gang
                    .entry(key)
                    .or_default()
                    .insert(run.subtask.index);
                self.gangs.entry(key).or_insert(Gang {
                    first_run_at: now,
                    ..Gang::default()
                });
            }
        }
        let fails = self.chance(self.faults.failing_runs);
        let mut ended_gangs = Vec::new();
        let work_ms = self.gang_work_ms;
        for (key, gang) in &mut self.gangs {
            let running = members_by_gang.get(key).map_or(0, BTreeSet::len);
            let size = self.oracle.jobs[&key.0].steps[usize::from(key.1)].count as usize;
            let is_whole = running == size && !gang.has_ended;
            let work_ms = self.work_ms_by_job.get(&key.0).copied().unwrap_or(work_ms);
            if is_whole && gang.complete_since.is_none() {
                gang.complete_since = Some(now);
            }
            let kind = match gang.complete_since {
                Some(since) if is_whole && now >= since + work_ms => Some(if fails {
                    EndKind::Failed
                } else {
                    EndKind::Done
                }),
                Some(_) if !is_whole => Some(EndKind::Broken),
                None if now > gang.first_run_at + GANG_TIMEOUT_MS => Some(EndKind::Alone),
                _ => None,
            };
            if let Some(kind) = kind {
                gang.has_ended = true;
                ended_gangs.push((*key, kind));
            }
        }
        for (key, kind) in ended_gangs {
            self.end_gang(key, kind);
        }
    }

    fn end_gang(
        &mut self,
        key: (StepJobId, u16, u64),
        kind: EndKind,
    ) {
        let now = self.now;
        for g in &mut self.guards {
            let members = g.worker.runs.keys();
            let members = members.filter(|r| (r.subtask.job, r.subtask.step, r.run) == key);
            for run in members.copied().collect::<Vec<_>>() {
                g.worker.finish(run, kind, now);
            }
        }
    }

    fn observe(&mut self) {
        let now = self.now;
        for g in &mut self.guards {
            g.worker.advance(now);
        }
        self.tick_gangs();
        for g in &mut self.guards {
            g.worker.advance(now);
            for end in std::mem::take(&mut g.worker.new_ends) {
                let number = self
                    .oracle
                    .ends
                    .iter()
                    .filter(|e| e.incarnation == g.incarnation)
                    .count() as u64
                    + 1;
                self.oracle.record_end(ObservedEnd {
                    run: end.run,
                    kind: end.kind,
                    at: end.ended_at_ms,
                    incarnation: g.incarnation,
                    number,
                    lease_expiries: end.lease_expiries,
                    acknowledged_before_expiry: false,
                    acknowledged: false,
                });
            }
            self.oracle.record_acknowledged(
                g.incarnation,
                g.worker.acknowledged_end,
                g.worker.lease_expiries,
            );
        }
        for g in &mut self.guards {
            for start in std::mem::take(&mut g.worker.starts) {
                let others = g.worker.runs.keys().filter(|r| **r != start.run);
                let others: Vec<RunRef> = others.copied().collect();
                if g.worker.runs.contains_key(&start.run) {
                    self.oracle
                        .record_start(now, g.incarnation, start.run, &others, CAPACITY);
                }
            }
        }
    }
}
