//! The real scheduler and guards' books in virtual time, between stand-in workers, a ledger in
//! memory and a network that fails.

use {
    super::oracle::{Oracle, SeenEnd},
    limpetquay::{
        connection::{EndKind, GuardOrders, GuardReport, RunStart, StartRefusal, WorkerLife},
        platform::stand_in::{WorkerModel, WorkerOutcome},
        prelude::*,
        process::{
            ledger::JobView,
            runs::{
                PollRequest, PollResponse, RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo,
                WorkerOrder,
            },
            scheduler::{LeaseTerms, RackFirstPlacing, Scheduler},
        },
        request::{JobProgress, Resources, RunRef, Step, StepJob, StepJobId},
        version::QueueName,
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
const STOP_MS: u64 = 200;
const TICK_MS: u64 = 20;
const CALL_TIMEOUT_MS: u64 = 700;
const READ_DELAY_MS: u64 = 120;
const GANG_TIMEOUT_MS: u64 = 3000;
const GANG_WORK_MS: u64 = 2000;
/// The work of a member by itself: it ends only with its gang.
const ENDLESS_MS: u64 = 1_000_000_000;

/// What goes wrong in a course, each as a chance in ten thousand for each tick or call.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub session_breaks: u32,
    pub guard_restarts: u32,
    pub worker_crashes: u32,
    pub takeovers: u32,
    pub cuts: u32,
    pub freezes: u32,
    pub store_outages: u32,
    pub cancels: u32,
    pub lost_answers: u32,
    pub late_orders: u32,
    pub failing_runs: u32,
}

enum Event {
    News {
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
        life: u64,
        boot: u64,
        token: u64,
        deadline: u64,
        start: RunStart,
        answered: bool,
    },
    StartAnswer {
        guard: usize,
        boot: u64,
        life: u64,
        token: u64,
        run: RunRef,
        result: Result<(), Option<StartRefusal>>,
    },
    Stop {
        guard: usize,
        life: u64,
        boot: u64,
        token: u64,
        run: RunRef,
    },
    Look {
        guard: usize,
        life: u64,
        boot: u64,
        sent: u64,
        call: PollRequest,
        answered: bool,
    },
    LookAnswer {
        guard: usize,
        boot: u64,
        life: u64,
        token: u64,
        sent: u64,
        answer: Option<PollResponse>,
    },
}

struct GuardSim {
    name: UpstreamName,
    boot: u64,
    book: RunTracker,
    worker: WorkerModel,
    life: u64,
    up_from: u64,
    cut_until: u64,
    frozen_until: u64,
    looking: bool,
    look_after: u64,
    reported_at: u64,
    changed: bool,
    beat: u64,
}

/// One start of a gang, as its members see it.
#[derive(Default)]
struct Gang {
    first_seen: u64,
    complete_since: Option<u64>,
    has_ended: bool,
}

struct Lead {
    scheduler: Scheduler,
    sessions: BTreeMap<usize, (u64, u64, u64)>, // session, token, last message
    next_session: u64,
    retire_at: u64,
}

/// A course.
pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub faults: Faults,
    pub oracle: Oracle,
    pub log: Vec<String>,
    guards: Vec<GuardSim>,
    leads: Vec<Lead>,
    term: u64,
    next_life: u64,
    ledger: BTreeMap<StepJobId, JobView>,
    offset: u64,
    store_down_until: u64,
    gangs: BTreeMap<(StepJobId, u16, u64), Gang>,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
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
            leads: Vec::new(),
            term: 0,
            next_life: 0,
            ledger: BTreeMap::new(),
            offset: 10,
            store_down_until: 0,
            gangs: BTreeMap::new(),
            events: BTreeMap::new(),
            number: 0,
        };
        for i in 0..guards {
            world.next_life += 1;
            world.guards.push(GuardSim {
                name: UpstreamName::from(format!("guard-{i}").as_str()),
                boot: 0,
                book: RunTracker::default(),
                worker: WorkerModel::new(MAX_LEASE_MS, STOP_MS),
                life: world.next_life,
                up_from: 0,
                cut_until: 0,
                frozen_until: 0,
                looking: false,
                look_after: 0,
                reported_at: 0,
                changed: true,
                beat: 0,
            });
        }
        world.take_over();
        world
    }

    /// Submits a job.
    pub fn submit(
        &mut self,
        steps: Vec<Step>,
        priority: u32,
        attempts: u32,
    ) -> StepJobId {
        let id = StepJobId(self.offset);
        let job = StepJob {
            id,
            queue: QueueName::from("queue"),
            account: AccountName::from("account"),
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
            job: Rc::new(job),
            offset: self.offset,
            progress: JobProgress::default(),
            is_cancelled: false,
            ended_at: None,
        };
        self.offset += 1;
        // A scheduler reads the ledger in order, so one that was replaced reads that first.
        let term = self.term;
        for lead in self.leads.iter_mut().filter(|l| l.scheduler.term == term) {
            lead.scheduler.take_job(&view);
        }
        self.ledger.insert(id, view);
        id
    }

    /// Cancels a job.
    pub fn cancel(
        &mut self,
        id: StepJobId,
    ) {
        if let Some(view) = self.ledger.get_mut(&id) {
            view.is_cancelled = true;
            self.oracle.cancelled.insert(id);
            for lead in &mut self.leads {
                lead.scheduler.take_job(view);
            }
        }
    }

    /// Returns the recorded progress of a job.
    pub fn progress(
        &self,
        id: StepJobId,
    ) -> &JobView {
        &self.ledger[&id]
    }

    /// Describes what the present scheduler thinks of a job.
    pub fn describe(
        &self,
        id: StepJobId,
    ) -> String {
        let Some(lead) = self.leads.last() else {
            return "no scheduler".to_owned();
        };
        let active = lead.scheduler.jobs.get(&id).map(|j| &j.active);
        let upstreams = lead.scheduler.upstreams.iter().map(|(name, u)| {
            let runs: Vec<String> = u
                .runs
                .iter()
                .map(|(r, p)| {
                    format!(
                        "{r} {:?} stopping {} by {}",
                        p.phase, p.stopping, p.ordered_by
                    )
                })
                .collect();
            format!(
                "{name} connected {} in session {} silent {} avoided until {:?}: {runs:?}",
                u.connected, u.in_session, u.silent_ms, u.avoid_until
            )
        });
        format!("{active:?}; {}", upstreams.collect::<Vec<_>>().join("; "))
    }

    /// Returns how many runs go on.
    pub fn running(&self) -> usize {
        self.guards.iter().map(|g| g.worker.runs.len()).sum()
    }

    /// Lets time pass.
    pub fn run_for(
        &mut self,
        span: u64,
    ) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_MS;
            self.deliver();
            self.inject();
            self.tick_guards();
            self.tick_leads();
            self.observe();
        }
    }

    /// Stops all faults, heals everything and lets time pass.
    pub fn settle(
        &mut self,
        span: u64,
    ) {
        self.faults = Faults::default();
        self.store_down_until = 0;
        for guard in &mut self.guards {
            guard.cut_until = 0;
            guard.frozen_until = 0;
        }
        self.run_for(span);
    }

    /// Breaks the session of a guard with the present scheduler.
    pub fn break_session(
        &mut self,
        guard: usize,
    ) {
        for lead in &mut self.leads {
            if lead.sessions.remove(&guard).is_some() {
                lead.scheduler.close_session(&self.guards[guard].name);
            }
        }
    }

    /// Restarts a guard's process.
    pub fn restart_guard(
        &mut self,
        guard: usize,
        down: u64,
    ) {
        self.note(format!("guard {guard} restarts"));
        self.break_session(guard);
        let g = &mut self.guards[guard];
        g.boot += 1;
        g.book = RunTracker::default();
        g.up_from = self.now + down;
        g.looking = false;
        g.beat = 0;
    }

    /// Crashes a worker; another life begins at once.
    pub fn crash_worker(
        &mut self,
        guard: usize,
    ) {
        self.note(format!("worker {guard} crashes"));
        self.next_life += 1;
        let g = &mut self.guards[guard];
        g.worker.advance(self.now);
        self.oracle.take_crash(g.life);
        g.worker = WorkerModel::new(MAX_LEASE_MS, STOP_MS);
        g.life = self.next_life;
        g.beat = 0;
        g.looking = false;
    }

    /// Cuts a guard off from schedulers.
    pub fn cut_guard(
        &mut self,
        guard: usize,
        span: u64,
    ) {
        self.guards[guard].cut_until = self.now + span;
        self.break_session(guard);
    }

    /// Kills the present scheduler.
    pub fn lose_scheduler(&mut self) {
        self.leads.clear();
    }

    /// Lets another scheduler take over; the one before goes on for a while.
    pub fn take_over(&mut self) {
        self.term = self.offset + 1;
        self.offset += 1;
        self.note(format!("term {} begins", self.term));
        for lead in &mut self.leads {
            lead.retire_at = lead.retire_at.min(self.now + 800);
        }
        // A scheduler that takes over has read everything before its claim.
        self.events
            .retain(|_, event| !matches!(event, Event::News { .. }));
        let guards: BTreeSet<UpstreamName> = self.guards.iter().map(|g| g.name.clone()).collect();
        let leases = LeaseTerms::new(Millis(MAX_LEASE_MS));
        let mut scheduler = Scheduler::new(
            self.term,
            leases,
            3,
            Box::new(RackFirstPlacing),
            guards,
            Millis(self.now),
        );
        for view in self.ledger.values() {
            scheduler.take_job(view);
        }
        self.leads.push(Lead {
            scheduler,
            sessions: BTreeMap::new(),
            next_session: 0,
            retire_at: u64::MAX,
        });
    }

    fn note(
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

    fn at(
        &mut self,
        delay: u64,
        event: Event,
    ) {
        self.number += 1;
        self.events.insert((self.now + delay, self.number), event);
    }

    fn inject(&mut self) {
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
        if self.chance(f.cuts) {
            self.guards[guard].cut_until = self.now + self.rng.random_range(500..16_000);
            self.note(format!("guard {guard} is cut off"));
            self.break_session(guard);
        }
        if self.chance(f.freezes) {
            let until = self.now + self.rng.random_range(500..9000);
            let g = &mut self.guards[guard];
            g.frozen_until = g.frozen_until.max(until);
            self.note(format!("guard {guard} freezes"));
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
        g.up_from <= self.now && g.frozen_until <= self.now
    }

    fn deliver(&mut self) {
        while let Some((key, _)) = self.events.first_key_value()
            && key.0 <= self.now
        {
            let key = *key;
            if let Some(event) = self.events.remove(&key) {
                self.take(event);
            }
        }
    }

    /// Delivers an event, later if the guard that it is for stands still.
    fn take(
        &mut self,
        event: Event,
    ) {
        let frozen = match &event {
            Event::Orders { guard, .. }
            | Event::StartAnswer { guard, .. }
            | Event::LookAnswer { guard, .. } => self.guards[*guard].frozen_until,
            _ => 0,
        };
        if frozen > self.now {
            let delay = frozen - self.now;
            self.at(delay, event);
            return;
        }
        match event {
            Event::News { view } => self.take_news(&view),
            Event::Orders {
                guard,
                session,
                orders,
            } => self.take_orders(guard, session, &orders),
            Event::Report {
                guard,
                session,
                term,
                report,
            } => self.take_report(guard, session, term, report),
            Event::Start {
                guard,
                life,
                boot,
                token,
                deadline,
                start,
                answered,
            } => {
                if self.guards[guard].life != life {
                    return;
                }
                let outcome = self.outcome(start.run);
                let now = self.now;
                let result = self.guards[guard]
                    .worker
                    .start(now, token, deadline, &start, outcome);
                if answered {
                    let result = result.map_err(Some);
                    self.at(
                        1,
                        Event::StartAnswer {
                            guard,
                            boot,
                            life,
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
                life,
                token,
                run,
                result,
            } => {
                let now = self.now;
                let g = &mut self.guards[guard];
                if g.boot != boot || g.life != life || !g.book.is_current_token(token) {
                    return;
                }
                g.changed = true;
                match result {
                    Ok(()) => g.book.confirm_start(run, Millis(now)),
                    Err(Some(reason)) => g.book.refuse_start(run, reason),
                    Err(None) => {
                        let _known = g.book.begin_stop(run);
                        self.at(
                            1,
                            Event::Stop {
                                guard,
                                life,
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
                life,
                boot,
                token,
                run,
            } => self.take_stop(guard, life, boot, token, run),
            Event::Look {
                guard,
                life,
                boot,
                sent,
                call,
                answered,
            } => {
                if self.guards[guard].life != life {
                    return;
                }
                let now = self.now;
                let answer = self.guards[guard].worker.look(now, &call).ok();
                if answered {
                    self.at(
                        1,
                        Event::LookAnswer {
                            guard,
                            boot,
                            life,
                            token: call.token,
                            sent,
                            answer,
                        },
                    );
                }
            }
            Event::LookAnswer {
                guard,
                boot,
                life,
                token,
                sent,
                answer,
            } => {
                let now = self.now;
                let g = &mut self.guards[guard];
                if g.boot != boot || g.life != life {
                    return;
                }
                g.looking = false;
                g.look_after = now + 60;
                if let Some(answer) = answer {
                    g.changed |= g.book.apply_poll(token, Millis(sent), Millis(now), answer);
                }
            }
        }
    }

    fn take_news(
        &mut self,
        view: &JobView,
    ) {
        let term = self.term;
        for lead in self.leads.iter_mut().filter(|l| l.scheduler.term == term) {
            lead.scheduler.take_job(view);
        }
    }

    fn outcome(
        &mut self,
        run: RunRef,
    ) -> WorkerOutcome {
        if self.is_gang(run) {
            return WorkerOutcome {
                kind: EndKind::Done,
                work_ms: ENDLESS_MS,
                save_ms: 500,
            };
        }
        let fails = self.chance(self.faults.failing_runs);
        WorkerOutcome {
            kind: if fails {
                EndKind::Failed
            } else {
                EndKind::Done
            },
            work_ms: self.rng.random_range(300..6000),
            save_ms: 500,
        }
    }

    fn take_stop(
        &mut self,
        guard: usize,
        life: u64,
        boot: u64,
        token: u64,
        run: RunRef,
    ) {
        let is_answered = !self.chance(self.faults.lost_answers);
        let now = self.now;
        let g = &mut self.guards[guard];
        if g.life != life || g.boot != boot || g.book.highest_token != token {
            return;
        }
        let result = g.worker.stop(now, token, run);
        if result.is_ok() && is_answered {
            g.book.confirm_stop(run, Millis(now));
            g.changed = true;
        } else {
            self.at(
                CALL_TIMEOUT_MS,
                Event::Stop {
                    guard,
                    life,
                    boot,
                    token,
                    run,
                },
            );
        }
    }

    fn take_orders(
        &mut self,
        guard: usize,
        session: u64,
        orders: &GuardOrders,
    ) {
        let is_open = self.leads.iter().any(|l| {
            l.sessions
                .get(&guard)
                .is_some_and(|s| s.0 == session && s.1 == orders.token)
        });
        if !is_open || !self.is_awake(guard) {
            return;
        }
        let now = Millis(self.now);
        let (life, boot, token) = (
            self.guards[guard].life,
            self.guards[guard].boot,
            orders.token,
        );
        let book = &mut self.guards[guard].book;
        if orders.number == 1 && !book.open_session(token) || book.highest_token != token {
            return;
        }
        let calls = book.apply_orders(orders, now);
        let deadline = book.deadline_ms(now);
        let worker_life = book.worker.as_ref().map(|w| w.life.born_ms);
        self.guards[guard].changed = true;
        for call in calls {
            match call {
                WorkerOrder::Stop(run) => self.at(
                    1,
                    Event::Stop {
                        guard,
                        life: worker_life.unwrap_or(life),
                        boot,
                        token,
                        run,
                    },
                ),
                WorkerOrder::Start(start) => self.call_start(
                    guard,
                    worker_life.unwrap_or(life),
                    boot,
                    token,
                    deadline,
                    start,
                ),
            }
        }
    }

    fn call_start(
        &mut self,
        guard: usize,
        life: u64,
        boot: u64,
        token: u64,
        deadline: Option<u64>,
        start: RunStart,
    ) {
        let run = start.run;
        let Some(deadline) = deadline else {
            self.guards[guard]
                .book
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
        self.at(
            delay,
            Event::Start {
                guard,
                life,
                boot,
                token,
                deadline,
                start,
                answered: !lost,
            },
        );
        if lost {
            self.at(
                CALL_TIMEOUT_MS,
                Event::StartAnswer {
                    guard,
                    boot,
                    life,
                    token,
                    run,
                    result: Err(None),
                },
            );
        }
    }

    fn take_report(
        &mut self,
        guard: usize,
        session: u64,
        term: u64,
        report: GuardReport,
    ) {
        let name = self.guards[guard].name.clone();
        let now = Millis(self.now);
        for lead in self.leads.iter_mut().filter(|l| l.scheduler.term == term) {
            let is_open = lead.sessions.get(&guard).is_some_and(|s| s.0 == session);
            if is_open && report.highest_token == report.token {
                lead.scheduler.take_report(&name, report.clone(), now);
            }
        }
    }

    fn tick_guards(&mut self) {
        for guard in 0..self.guards.len() {
            if !self.is_awake(guard) {
                continue;
            }
            self.beat(guard);
            self.look(guard);
            self.report(guard);
        }
    }

    fn beat(
        &mut self,
        guard: usize,
    ) {
        let g = &mut self.guards[guard];
        g.beat += 1;
        let beat = WorkerHeartbeat {
            worker: WorkerAddress {
                address: "worker".into(),
                life: WorkerLife {
                    id: g.life.to_string().into(),
                    born_ms: g.life,
                },
            },
            sequence: g.beat,
            info: WorkerInfo {
                service: "service".into(),
                capacity: CAPACITY,
                labels: vec!["a".into(), "r1".into()],
                leaving_ms: None,
            },
        };
        g.changed |= g.book.apply_heartbeat(beat, Millis(self.now));
    }

    fn look(
        &mut self,
        guard: usize,
    ) {
        let now = self.now;
        let answered = !self.chance(self.faults.lost_answers);
        let g = &mut self.guards[guard];
        let Some(session) = g.book.session else {
            return;
        };
        if g.looking || g.look_after > now {
            return;
        }
        g.looking = true;
        let call = PollRequest {
            token: session.token,
            acknowledged_end: g.book.acknowledged_end,
            deadline_ms: g.book.deadline_ms(Millis(now)),
            wait: Duration::ZERO,
        };
        let (life, boot) = (g.life, g.boot);
        let delay = self.rng.random_range(1..30);
        self.at(
            delay,
            Event::Look {
                guard,
                life,
                boot,
                sent: now,
                call,
                answered,
            },
        );
        if !answered {
            let token = call.token;
            self.at(
                CALL_TIMEOUT_MS,
                Event::LookAnswer {
                    guard,
                    boot,
                    life,
                    token,
                    sent: now,
                    answer: None,
                },
            );
        }
    }

    fn report(
        &mut self,
        guard: usize,
    ) {
        let now = self.now;
        let g = &mut self.guards[guard];
        if g.cut_until > now || !(g.changed || now - g.reported_at >= 400) {
            return;
        }
        g.changed = false;
        g.reported_at = now;
        let report = g.book.report(Millis(now));
        let open = self.leads.iter().find_map(|l| {
            let session = l.sessions.get(&guard)?;
            (session.1 == report.token).then_some((session.0, l.scheduler.term))
        });
        if let Some((session, term)) = open {
            self.at(
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

    fn tick_leads(&mut self) {
        let now = self.now;
        self.leads.retain(|l| l.retire_at > now);
        let is_store_up = self.store_down_until <= now;
        for i in 0..self.leads.len() {
            self.connect(i);
            self.leads[i].scheduler.turn(Millis(now), Millis(now));
            if is_store_up && self.leads[i].scheduler.term == self.term {
                self.record(i);
            }
            self.send(i);
        }
    }

    /// The second guard is reached half a period after the others.
    fn connect_offset(
        &self,
        guard: usize,
    ) -> u64 {
        if guard == 1 { 120 } else { 0 }
    }

    fn connect(
        &mut self,
        lead: usize,
    ) {
        for guard in 0..self.guards.len() {
            let is_reached =
                self.guards[guard].cut_until <= self.now && self.guards[guard].up_from <= self.now;
            let is_due = (self.now + self.connect_offset(guard)).is_multiple_of(240);
            let l = &mut self.leads[lead];
            let newest = l.scheduler.term == self.term;
            if !is_reached || !newest || l.sessions.contains_key(&guard) || !is_due {
                continue;
            }
            l.next_session += 1;
            let token = (l.scheduler.term << 16) + l.next_session;
            l.sessions.insert(guard, (l.next_session, token, 0));
            l.scheduler.open_session(&self.guards[guard].name);
        }
    }

    fn record(
        &mut self,
        lead: usize,
    ) {
        let batch = self.leads[lead].scheduler.unrecorded(100);
        for (id, change, progress) in batch {
            if let Some(view) = self.ledger.get_mut(&id) {
                view.progress = progress;
                // The writer reads its own record like all others, some time later.
                let view = view.clone();
                self.at(READ_DELAY_MS, Event::News { view });
            }
            self.leads[lead].scheduler.note_recorded(id, change);
        }
        self.leads[lead].scheduler.advance_noted_ends();
    }

    fn send(
        &mut self,
        lead: usize,
    ) {
        let now = self.now;
        let open: Vec<usize> = self.leads[lead].sessions.keys().copied().collect();
        for guard in open {
            let name = self.guards[guard].name.clone();
            let l = &mut self.leads[lead];
            let Some(session) = l.sessions.get_mut(&guard) else {
                continue;
            };
            if !l.scheduler.has_orders(&name) && now - session.2 < 200 && session.2 > 0 {
                continue;
            }
            session.2 = now;
            let (number, token) = (session.0, session.1);
            let orders = l.scheduler.next_message(&name, token);
            if self.guards[guard].cut_until <= now {
                self.at(
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

    /// Lets gangs work while they are whole, and ends what is left of those that are not.
    fn tick_gangs(&mut self) {
        let now = self.now;
        let mut present: BTreeMap<(StepJobId, u16, u64), BTreeSet<u32>> = BTreeMap::new();
        for g in &self.guards {
            let jobs = &self.oracle.jobs;
            let is_gang = |r: &&RunRef| {
                jobs.get(&r.subtask.job)
                    .is_some_and(|j| j.steps[usize::from(r.subtask.step)].gang)
            };
            for run in g.worker.runs.keys().filter(is_gang) {
                let key = (run.subtask.job, run.subtask.step, run.run);
                present.entry(key).or_default().insert(run.subtask.index);
                self.gangs.entry(key).or_insert(Gang {
                    first_seen: now,
                    ..Gang::default()
                });
            }
        }
        let fails = self.chance(self.faults.failing_runs);
        let mut endings = Vec::new();
        for (key, gang) in &mut self.gangs {
            let here = present.get(key).map_or(0, BTreeSet::len);
            let size = self.oracle.jobs[&key.0].steps[usize::from(key.1)].count as usize;
            let is_whole = here == size && !gang.has_ended;
            if is_whole && gang.complete_since.is_none() {
                gang.complete_since = Some(now);
            }
            let kind = match gang.complete_since {
                Some(since) if is_whole && now >= since + GANG_WORK_MS => Some(if fails {
                    EndKind::Failed
                } else {
                    EndKind::Done
                }),
                Some(_) if !is_whole => Some(EndKind::Broken),
                None if now > gang.first_seen + GANG_TIMEOUT_MS => Some(EndKind::Alone),
                _ => None,
            };
            if let Some(kind) = kind {
                gang.has_ended = true;
                endings.push((*key, kind));
            }
        }
        for (key, kind) in endings {
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
                let number =
                    self.oracle.ends.iter().filter(|e| e.life == g.life).count() as u64 + 1;
                self.oracle.take_end(SeenEnd {
                    run: end.run,
                    kind: end.kind,
                    at: end.at_ms,
                    life: g.life,
                    number,
                    lapses: end.lapses,
                    noted: false,
                    acknowledged: false,
                });
            }
            self.oracle
                .take_noted(g.life, g.worker.noted_end, g.worker.lapses);
        }
        for g in &mut self.guards {
            for start in std::mem::take(&mut g.worker.starts) {
                let others = g.worker.runs.keys().filter(|r| **r != start.run);
                let others: Vec<RunRef> = others.copied().collect();
                if g.worker.runs.contains_key(&start.run) {
                    self.oracle
                        .take_start(now, g.life, start.run, &others, CAPACITY);
                }
            }
        }
    }
}
