//! Runs the scheduler's tasks for each term in which this entry is the leader.

use {
    super::{
        LeaseTerms, RackFirstPlacement, Scheduler,
        early_cancellation_sweep::drop_early_cancellations,
        guard_task::maintain_session,
        progress_writer::{AppendResult, FencedWriter, write_progress},
        scheduler::TERM_SHIFT_BITS,
    },
    crate::{
        prelude::*,
        process::{
            clock::{sleep_logging_delay, with_timeout},
            config_view::ConfigView,
            evacuations::Evacuations,
            ledger::{LeaderElection, Ledger, LedgerFold, LedgerKey, Member, MemberRole},
            metrics::PlatformMetrics,
            task_group::TaskGroup,
        },
    },
    event_listener::Event,
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
    },
};

/// The longest time between two scheduling passes.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time between two scheduling passes, so that one pass handles several reports.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);

/// How long a leader may reach the store through other entries only before it gives up the
/// leadership: several calls, so that a short refusal does not count.
const MAX_RELAY_ONLY_DURATION: Duration = Duration::from_millis(1200);

/// The parts of the process that the scheduler uses.
#[derive(Clone)]
pub struct SchedulerContext {
    /// This entry's part in the election of the leader.
    pub election: Rc<LeaderElection>,
    /// The process's clock.
    pub clock: Rc<dyn Clock>,
    /// The queues and accounts of the configuration in force, once one is known.
    pub config: Rc<ConfigView>,
    /// The data centres in which nothing may be started.
    pub evacuations: Rc<RefCell<Evacuations>>,
    /// The age from which the view of the evacuated data centres is too old to start anything;
    /// `None` if the settings give no bound on evacuations.
    pub max_evacuation_age: Option<Millis>,
    /// The durations of the guards' and workers' leases.
    pub leases: LeaseTerms,
    /// The factor by which work takes longer when it runs remote from its data.
    pub remote_factor: u64,
    /// The time within which work within its account's guarantee starts.
    pub reclaim_time: Duration,
    /// How long an ended job stays on the ledger for its caller.
    pub retention: Duration,
    /// The process's metrics.
    pub metrics: Rc<PlatformMetrics>,
}

/// The state that the tasks of one term share.
pub(super) struct SchedulerTerm {
    pub(super) term: u64,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) pass_due: Event,
    pub(super) recording_due: Event,
    guards: RefCell<BTreeMap<UpstreamName, (Member, Rc<Event>)>>,
    sessions: RefCell<BTreeMap<UpstreamName, TaskGroup>>,
    /// The number of sessions that were opened with each guard. It outlasts the guard's record,
    /// because tokens must rise for the rest of the term.
    session_counts: RefCell<BTreeMap<UpstreamName, u64>>,
    is_over: Cell<bool>,
    /// Whether this entry gave up the leadership because it cannot lead.
    is_unfit: Cell<bool>,
}

impl SchedulerTerm {
    /// Ends the session with a guard that is no longer registered, and removes the guard.
    fn drop_session(
        &self,
        name: &UpstreamName,
    ) {
        tracing::info!(upstream = %name, "guard is no longer registered");
        self.sessions.borrow_mut().remove(name);
        self.guards.borrow_mut().remove(name);
        let now = self.clock.now();
        self.scheduler.borrow_mut().remove_guard(name, now);
    }

    /// Ends the term, so that the scheduling passes stop.
    pub(super) fn end(
        &self,
        why: &str,
    ) {
        if !self.is_over.replace(true) {
            tracing::info!(term = self.term, why, "leadership lost");
            self.pass_due.notify(usize::MAX);
        }
    }

    /// Ends the term so that an entry that can lead takes over.
    fn give_up(
        &self,
        why: &str,
    ) {
        self.is_unfit.set(true);
        self.end(why);
    }

    /// Returns the token of the next session with a guard. Ends the term, and returns `None`, once
    /// no numbers are left.
    pub(super) fn next_token(
        &self,
        name: &UpstreamName,
    ) -> Option<u64> {
        let mut counts = self.session_counts.borrow_mut();
        let count = counts.entry(name.clone()).or_default();
        *count += 1;
        if *count >> TERM_SHIFT_BITS > 0 {
            self.end("the session numbers of the term are used up");
            return None;
        }
        Some((self.term << TERM_SHIFT_BITS) + *count)
    }

    /// Ends the term if a guard knows a fencing token of a higher one.
    pub(super) fn check_token(
        &self,
        token: u64,
    ) {
        if token >> TERM_SHIFT_BITS > self.term {
            self.end("a guard knows a higher term");
        }
    }

    /// Acknowledges the recorded ends to their guards, so that workers may forget them.
    pub(super) fn acknowledge_recorded_ends(&self) {
        let guards = self.scheduler.borrow_mut().advance_acknowledged_ends();
        for name in guards {
            self.wake_session(&name);
        }
    }

    /// Returns the records of guards that have to be stored again, because a late deregistration
    /// has removed them or a late registration has replaced them.
    pub(super) fn lost_registrations(
        &self,
        ledger: &Ledger,
    ) -> Vec<Member> {
        let unstored = |fold: &LedgerFold| {
            let names = fold.unstored_members.iter();
            let members = names.filter_map(|name| fold.members.get(name).cloned());
            members.collect::<Vec<Member>>()
        };
        let mut lost = ledger.view(unstored);
        let guards = self.guards.borrow();
        for (name, registration) in self.scheduler.borrow().displaced_registrations() {
            if let Some((member, _)) = guards.get(&name) {
                lost.push(Member {
                    registration,
                    ..member.clone()
                });
            }
        }
        for member in &lost {
            tracing::info!(name = %member.name, registration = member.registration, "the record of a guard is stored again");
        }
        lost
    }

    fn wake_session(
        &self,
        name: &UpstreamName,
    ) {
        if let Some((_, wake)) = self.guards.borrow().get(name) {
            wake.notify(usize::MAX);
        }
    }
}

/// Claims leadership whenever it is vacant, and schedules while this entry is the leader.
pub async fn run_scheduler(ctx: SchedulerContext) {
    loop {
        let term = ctx.election.claim().await;
        run_term(&ctx, term).await;
    }
}

async fn run_term(
    ctx: &SchedulerContext,
    term: u64,
) {
    let election = &ctx.election;
    let mut writer = FencedWriter::new(term);
    let renewal = LedgerKey::Leader.record(&election.renewal(term));
    let appended = match renewal {
        Ok(record) => writer.append(election, &[record]).await,
        Err(e) => {
            tracing::error!(error = %e, "the record that renews the term cannot be encoded");
            AppendResult::Superseded
        }
    };
    if let AppendResult::Rejected(why) = &appended {
        tracing::error!(
            term,
            why,
            "the store rejects the record that renews the term"
        );
    }
    let AppendResult::Stored(appended) = appended else {
        tracing::info!(
            term,
            "another entry became the leader before the term began"
        );
        return;
    };
    election.ledger.track_changed_jobs(true);
    election.ledger.wait_for_offset(appended.offset + 1).await;
    let shared = Rc::new(start_term(ctx, term, appended.sent_at));
    tracing::info!(
        term,
        jobs = shared.scheduler.borrow().jobs.len(),
        unreported_guards = shared.scheduler.borrow().unreported_guard_count(),
        "scheduling begins"
    );
    let tasks = TaskGroup::default();
    tasks.spawn(write_progress(
        shared.clone(),
        election.clone(),
        writer,
        ctx.retention,
    ));
    tasks.spawn(drop_early_cancellations(election.clone(), ctx.retention));
    run_passes(ctx, &shared).await;
    tasks.cancel();
    ctx.metrics.leader_term.set(0);
    ctx.metrics.evacuated_runs.reset();
    shared.sessions.borrow_mut().clear();
    election.ledger.track_changed_jobs(false);
    if shared.is_unfit.get() {
        election.mark_unfit();
    }
    if (election.is_stopping.get() || shared.is_unfit.get())
        && let Err(e) = election.resign(term).await
    {
        tracing::warn!(term, error = %e, "the resignation as leader is not recorded");
    }
}

fn start_term(
    ctx: &SchedulerContext,
    term: u64,
    confirmed_at: Millis,
) -> SchedulerTerm {
    let now = ctx.clock.now();
    let mut guards: BTreeSet<UpstreamName> = registered_guards(&ctx.election.ledger)
        .into_keys()
        .collect();
    ctx.election.ledger.view(|fold| {
        let departed = fold.departed_guards.iter();
        let leased = departed.filter(|(_, expire_at)| **expire_at > now);
        guards.extend(leased.map(|(name, _)| UpstreamName::from(&**name)));
    });
    let policy = Box::new(RackFirstPlacement);
    let mut scheduler = Scheduler::new(term, ctx.leases, ctx.remote_factor, policy, guards, now);
    scheduler.reclaim_time = ctx.reclaim_time;
    scheduler.record_limits = ctx.election.ledger.limits();
    scheduler.confirm_leadership(confirmed_at);
    ctx.election.ledger.view(|fold| {
        for view in fold.jobs.values() {
            scheduler.apply_job(view);
        }
    });
    SchedulerTerm {
        term,
        clock: ctx.clock.clone(),
        scheduler: RefCell::new(scheduler),
        pass_due: Event::new(),
        recording_due: Event::new(),
        guards: RefCell::default(),
        sessions: RefCell::default(),
        session_counts: RefCell::default(),
        is_over: Cell::new(false),
        is_unfit: Cell::new(false),
    }
}

async fn run_passes(
    ctx: &SchedulerContext,
    shared: &Rc<SchedulerTerm>,
) {
    let ledger = &ctx.election.ledger;
    loop {
        let pass_due = shared.pass_due.listen();
        let ledger_changed = ledger.listen();
        if shared.is_over.get() || ctx.election.is_stopping.get() {
            return;
        }
        if !ctx.election.is_current_term(shared.term) {
            shared.end("another entry has claimed leadership");
            return;
        }
        let health = &ctx.election.store_health;
        if health.is_relay_only(shared.clock.now(), MAX_RELAY_ONLY_DURATION) {
            shared.give_up("the store is reached through other entries only");
            return;
        }
        sync_sessions(shared, ledger);
        apply_ledger_changes(ctx, shared);
        apply_evacuations(ctx, shared);
        run_scheduling_pass(shared);
        export_metrics(ctx, shared);
        sleep_logging_delay(&*shared.clock, MIN_PASS_INTERVAL).await;
        let either = futures_util::future::select(pass_due, ledger_changed);
        with_timeout(&*shared.clock, MAX_PASS_INTERVAL, either).await;
    }
}

/// Opens sessions with guards that are new on the ledger or have another address, and ends those
/// with guards that are no longer registered and have no runs.
fn sync_sessions(
    shared: &Rc<SchedulerTerm>,
    ledger: &Ledger,
) {
    let now = shared.clock.now();
    let guards = registered_guards(ledger);
    let read_to = ledger.view(|fold| fold.next_offset);
    shared
        .scheduler
        .borrow_mut()
        .finish_deregistrations(read_to);
    let known: Vec<UpstreamName> = shared.guards.borrow().keys().cloned().collect();
    for name in known.iter().filter(|n| !guards.contains_key(n)) {
        let departure = ledger.view(|fold| fold.departed_guards.get(name.as_str()).copied());
        let is_removable = {
            let mut scheduler = shared.scheduler.borrow_mut();
            scheduler.set_stored_registration(name, None, now);
            if let Some(expire_at) = departure {
                scheduler.apply_departure(name, expire_at, now);
            }
            scheduler.is_removable(name, now)
        };
        if is_removable {
            shared.drop_session(name);
        }
    }
    for (name, member) in guards {
        let registration = Some(member.registration);
        let known_address = shared.guards.borrow().get(&name).map(|(m, _)| m.address);
        {
            let mut scheduler = shared.scheduler.borrow_mut();
            scheduler.set_stored_registration(&name, registration, now);
            if known_address.is_some_and(|known| known != member.address) {
                scheduler.close_session(&name);
            }
        }
        if known_address == Some(member.address) {
            continue;
        }
        let wake = Rc::new(Event::new());
        let group = TaskGroup::default();
        group.spawn(maintain_session(
            shared.clone(),
            member.clone(),
            wake.clone(),
        ));
        shared
            .guards
            .borrow_mut()
            .insert(name.clone(), (member, wake));
        shared.sessions.borrow_mut().insert(name, group);
    }
}

fn apply_ledger_changes(
    ctx: &SchedulerContext,
    shared: &SchedulerTerm,
) {
    let mut scheduler = shared.scheduler.borrow_mut();
    scheduler.queue_table = ctx.config.table();
    let changed = ctx.election.ledger.take_changed_jobs();
    ctx.election.ledger.view(|fold| {
        for view in changed.iter().filter_map(|id| fold.jobs.get(id)) {
            scheduler.apply_job(view);
        }
    });
}

/// Passes the evacuated data centres on to the scheduler. A view of them that is too old does not
/// count, because the store may accept the leader's appends while reads of the topic get no answer.
fn apply_evacuations(
    ctx: &SchedulerContext,
    shared: &SchedulerTerm,
) {
    let now = shared.clock.now();
    let evacuated = ctx.evacuations.borrow().known(now, ctx.max_evacuation_age);
    shared.scheduler.borrow_mut().set_evacuated(evacuated);
}

fn run_scheduling_pass(shared: &SchedulerTerm) {
    let (now, wall) = (shared.clock.now(), shared.clock.wall_time());
    shared.scheduler.borrow_mut().run_pass(now, wall);
    shared.acknowledge_recorded_ends();
    let names: Vec<UpstreamName> = shared.guards.borrow().keys().cloned().collect();
    for name in names {
        if shared.scheduler.borrow().has_orders(&name) {
            shared.wake_session(&name);
        }
    }
    shared.recording_due.notify(usize::MAX);
}

/// Adds the counted events to the metrics and sets the gauges.
fn export_metrics(
    ctx: &SchedulerContext,
    shared: &SchedulerTerm,
) {
    let metrics = &ctx.metrics;
    let now = shared.clock.now();
    let mut scheduler = shared.scheduler.borrow_mut();
    let counts = std::mem::take(&mut scheduler.counts);
    for (event, count) in counts.run_events {
        metrics.run_events.with_label_values(&[event]).inc_by(count);
    }
    for (priority, waited) in counts.placement_waits {
        let label = priority.to_string();
        let wait = metrics
            .placement_wait_seconds
            .with_label_values(&[label.as_str()]);
        wait.observe(waited.as_secs_f64());
    }
    let usable = scheduler
        .upstreams
        .values()
        .filter(|u| u.is_usable(now))
        .count();
    let placed: usize = scheduler.upstreams.values().map(|u| u.runs.len()).sum();
    metrics.usable_upstreams.set(usable as i64);
    metrics.placed_runs.set(placed as i64);
    metrics.open_jobs.set(scheduler.jobs.len() as i64);
    metrics.leader_term.set(shared.term as i64);
    metrics.evacuated_runs.reset();
    for (name, runs) in scheduler.evacuated_runs() {
        let gauge = metrics.evacuated_runs.with_label_values(&[name.as_str()]);
        gauge.set(runs as i64);
    }
}

fn registered_guards(ledger: &Ledger) -> BTreeMap<UpstreamName, Member> {
    ledger.view(|fold| {
        let guards = fold
            .members
            .values()
            .filter(|m| m.role == MemberRole::Guard);
        guards
            .map(|m| (UpstreamName::from(&*m.name), m.clone()))
            .collect()
    })
}
