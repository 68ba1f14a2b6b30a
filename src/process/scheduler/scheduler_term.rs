//! The scheduler's tasks, for as long as an entry has the lead.

use {
    super::{
        LeaseTerms, RackFirstPlacement, Scheduler,
        guard_task::maintain_session,
        progress_writer::{FencedWriter, write_progress},
        scheduler::TERM_SHIFT_BITS,
    },
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Lead, Ledger, LedgerKey, Member, MemberRole},
            metrics::FleetMetrics,
            task_group::TaskGroup,
        },
        version::QueueTable,
    },
    event_listener::Event,
    std::{cell::Cell, collections::BTreeMap},
};

/// The longest time between two turns.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);

/// The least time between two turns, which groups reports.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(10);

/// What the scheduler needs from its process.
#[derive(Clone)]
pub struct SchedulerContext {
    /// The entry's part in the choice of the lead.
    pub leadership: Rc<Lead>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The queues in force.
    pub queue_table: Rc<RefCell<Option<Rc<QueueTable>>>>,
    /// The leases.
    pub leases: LeaseTerms,
    /// How many times as long work takes far from its data.
    pub remote_factor: u64,
    /// How long the end of a job is kept for its caller.
    pub retention: Duration,
    /// The metrics.
    pub metrics: Rc<FleetMetrics>,
}

/// What the tasks of one term share.
pub(super) struct SchedulerTerm {
    pub(super) term: u64,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) pass_due: Event,
    pub(super) recording_due: Event,
    guards: RefCell<BTreeMap<UpstreamName, (Member, Rc<Event>)>>,
    sessions: RefCell<BTreeMap<UpstreamName, TaskGroup>>,
    is_over: Cell<bool>,
}

impl SchedulerTerm {
    /// Ends the session with a guard that is no longer registered.
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

    /// Ends the term.
    pub(super) fn end(
        &self,
        why: &str,
    ) {
        if !self.is_over.replace(true) {
            tracing::info!(term = self.term, why, "the lead is lost");
            self.pass_due.notify(usize::MAX);
        }
    }

    /// Takes note of a fencing token that a guard knows.
    pub(super) fn check_token(
        &self,
        token: u64,
    ) {
        if token >> TERM_SHIFT_BITS > self.term {
            self.end("a guard knows a higher term");
        }
    }

    /// Lets workers forget what is recorded.
    pub(super) fn acknowledge_recorded_ends(&self) {
        let told = self.scheduler.borrow_mut().advance_acknowledged_ends();
        for name in told {
            self.wake_session(&name);
        }
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

/// Claims the lead whenever it is vacant and schedules while this entry has it.
pub async fn run_scheduler(parts: SchedulerContext) {
    loop {
        let term = parts.leadership.claim().await;
        run_term(&parts, term).await;
    }
}

async fn run_term(
    parts: &SchedulerContext,
    term: u64,
) {
    let lead = &parts.leadership;
    let mut writer = FencedWriter::new(term);
    let first = LedgerKey::Lead.record(&lead.renewal(term));
    let first = match first {
        Ok(record) => writer.append(lead, &[record]).await,
        Err(e) => {
            tracing::error!(error = %e, "the lead's record cannot be encoded");
            None
        }
    };
    let Some(offset) = first else {
        tracing::info!(term, "the lead went to another entry before the term began");
        return;
    };
    lead.ledger.watch_jobs(true);
    lead.ledger.reach(offset + 1).await;
    let core = Rc::new(start_term(parts, term));
    tracing::info!(
        term,
        jobs = core.scheduler.borrow().jobs.len(),
        "scheduling begins"
    );
    let tasks = TaskGroup::default();
    tasks.spawn(write_progress(
        core.clone(),
        lead.clone(),
        writer,
        parts.retention,
    ));
    run_passes(parts, &core).await;
    tasks.cancel();
    parts.metrics.lead_term.set(0);
    core.sessions.borrow_mut().clear();
    lead.ledger.watch_jobs(false);
    if lead.leaving.get()
        && let Err(e) = lead.resign(term).await
    {
        tracing::warn!(term, error = %e, "giving the lead up is not recorded");
    }
}

fn start_term(
    parts: &SchedulerContext,
    term: u64,
) -> SchedulerTerm {
    let now = parts.clock.now();
    let guards = registered_guards(&parts.leadership.ledger)
        .into_keys()
        .collect();
    let rules = Box::new(RackFirstPlacement);
    let mut scheduler = Scheduler::new(term, parts.leases, parts.remote_factor, rules, guards, now);
    parts.leadership.ledger.view(|fold| {
        for view in fold.jobs.values() {
            scheduler.apply_job(view);
        }
    });
    SchedulerTerm {
        term,
        clock: parts.clock.clone(),
        scheduler: RefCell::new(scheduler),
        pass_due: Event::new(),
        recording_due: Event::new(),
        guards: RefCell::default(),
        sessions: RefCell::default(),
        is_over: Cell::new(false),
    }
}

async fn run_passes(
    parts: &SchedulerContext,
    core: &Rc<SchedulerTerm>,
) {
    let ledger = &parts.leadership.ledger;
    loop {
        let due = core.pass_due.listen();
        let news = ledger.listen();
        if core.is_over.get() || parts.leadership.leaving.get() {
            return;
        }
        if !parts.leadership.holds(core.term) {
            core.end("another entry has claimed the lead");
            return;
        }
        sync_sessions(core, ledger);
        apply_ledger_changes(parts, core);
        run_scheduling_pass(core);
        export_metrics(parts, core);
        core.clock.sleep(MIN_PASS_INTERVAL).await;
        let either = futures_util::future::select(due, news);
        with_timeout(&*core.clock, MAX_PASS_INTERVAL, either).await;
    }
}

/// Opens sessions with guards that are new on the ledger, and ends those with guards that are gone
/// from it.
fn sync_sessions(
    core: &Rc<SchedulerTerm>,
    ledger: &Ledger,
) {
    let guards = registered_guards(ledger);
    let known: Vec<UpstreamName> = core.guards.borrow().keys().cloned().collect();
    for name in known.iter().filter(|n| !guards.contains_key(n)) {
        core.drop_session(name);
    }
    for (name, member) in guards {
        let is_known = core
            .guards
            .borrow()
            .get(&name)
            .is_some_and(|(m, _)| m.address == member.address);
        if is_known {
            continue;
        }
        let wake = Rc::new(Event::new());
        let group = TaskGroup::default();
        group.spawn(maintain_session(core.clone(), member.clone(), wake.clone()));
        core.guards
            .borrow_mut()
            .insert(name.clone(), (member, wake));
        core.sessions.borrow_mut().insert(name, group);
    }
}

fn apply_ledger_changes(
    parts: &SchedulerContext,
    core: &SchedulerTerm,
) {
    let mut scheduler = core.scheduler.borrow_mut();
    scheduler
        .queue_table
        .clone_from(&parts.queue_table.borrow());
    let changed = parts.leadership.ledger.take_changed_jobs();
    parts.leadership.ledger.view(|fold| {
        for view in changed.iter().filter_map(|id| fold.jobs.get(id)) {
            scheduler.apply_job(view);
        }
    });
}

fn run_scheduling_pass(core: &SchedulerTerm) {
    let (now, wall) = (core.clock.now(), core.clock.wall());
    core.scheduler.borrow_mut().run_pass(now, wall);
    core.acknowledge_recorded_ends();
    let names: Vec<UpstreamName> = core.guards.borrow().keys().cloned().collect();
    for name in names {
        if core.scheduler.borrow().has_orders(&name) {
            core.wake_session(&name);
        }
    }
    core.recording_due.notify(usize::MAX);
}

/// Exports what has happened.
fn export_metrics(
    parts: &SchedulerContext,
    core: &SchedulerTerm,
) {
    let metrics = &parts.metrics;
    let now = core.clock.now();
    let mut scheduler = core.scheduler.borrow_mut();
    let counts = std::mem::take(&mut scheduler.counts);
    for (event, count) in counts.run_events {
        metrics.runs.with_label_values(&[event]).inc_by(count);
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
    metrics.lead_term.set(core.term as i64);
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
