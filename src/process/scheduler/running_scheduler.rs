//! The scheduler's tasks, for as long as an entry has the lead.

use {
    super::{
        LeaseTerms, RackFirstPlacing, Scheduler,
        guard_task::keep_session,
        progress_writer::{FencedWriter, write_progress},
        scheduler::TERM_SHIFT,
    },
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{LeaderElection, Ledger, LedgerKey, Member, MemberRole},
            metrics::FleetMetrics,
            task_group::TaskGroup,
        },
        version::QueueTable,
    },
    event_listener::Event,
    std::{cell::Cell, collections::BTreeMap},
};

/// The longest time between two turns.
const TURN_INTERVAL: Duration = Duration::from_millis(100);

/// The least time between two turns, which groups reports.
const TURN_GAP: Duration = Duration::from_millis(10);

/// What the scheduler needs from its process.
#[derive(Clone)]
pub struct SchedulerParts {
    /// The entry's part in the choice of the lead.
    pub lead: Rc<LeaderElection>,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The queues in force.
    pub table: Rc<RefCell<Option<Rc<QueueTable>>>>,
    /// The leases.
    pub leases: LeaseTerms,
    /// How many times as long work takes far from its data.
    pub far_factor: u64,
    /// How long the end of a job is kept for its caller.
    pub retention: Duration,
    /// The metrics.
    pub metrics: Rc<FleetMetrics>,
}

/// What the tasks of one term share.
pub(super) struct SchedulerCore {
    pub(super) term: u64,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) turn_due: Event,
    pub(super) record_due: Event,
    wakes: RefCell<BTreeMap<UpstreamName, (Member, Rc<Event>)>>,
    sessions: RefCell<BTreeMap<UpstreamName, TaskGroup>>,
    deposed: Cell<bool>,
}

impl SchedulerCore {
    /// Ends the session with a guard that is no longer registered.
    fn forget_guard(
        &self,
        name: &UpstreamName,
    ) {
        tracing::info!(upstream = %name, "guard is no longer registered");
        self.sessions.borrow_mut().remove(name);
        self.wakes.borrow_mut().remove(name);
        let now = self.clock.now();
        self.scheduler.borrow_mut().forget_guard(name, now);
    }

    /// Ends the term.
    pub(super) fn depose(
        &self,
        why: &str,
    ) {
        if !self.deposed.replace(true) {
            tracing::info!(term = self.term, why, "the lead is lost");
            self.turn_due.notify(usize::MAX);
        }
    }

    /// Takes note of a fencing token that a guard knows.
    pub(super) fn meet_token(
        &self,
        token: u64,
    ) {
        if token >> TERM_SHIFT > self.term {
            self.depose("a guard knows a higher term");
        }
    }

    /// Lets workers forget what is recorded.
    pub(super) fn note_recorded(&self) {
        let told = self.scheduler.borrow_mut().advance_noted_ends();
        for name in told {
            self.wake(&name);
        }
    }

    fn wake(
        &self,
        name: &UpstreamName,
    ) {
        if let Some((_, wake)) = self.wakes.borrow().get(name) {
            wake.notify(usize::MAX);
        }
    }
}

/// Claims the lead whenever it is vacant and schedules while this entry has it.
pub async fn run_scheduler(parts: SchedulerParts) {
    loop {
        let term = parts.lead.claim().await;
        run_term(&parts, term).await;
    }
}

async fn run_term(
    parts: &SchedulerParts,
    term: u64,
) {
    let lead = &parts.lead;
    let mut writer = FencedWriter::new(term);
    let first = LedgerKey::Leader.record(&lead.renewal(term));
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
    lead.ledger.track_changed_jobs(true);
    lead.ledger.wait_for_offset(offset + 1).await;
    let core = Rc::new(start_core(parts, term));
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
    run_turns(parts, &core).await;
    tasks.cancel();
    parts.metrics.lead_term.set(0);
    core.sessions.borrow_mut().clear();
    lead.ledger.track_changed_jobs(false);
    if lead.is_stopping.get()
        && let Err(e) = lead.resign(term).await
    {
        tracing::warn!(term, error = %e, "giving the lead up is not recorded");
    }
}

fn start_core(
    parts: &SchedulerParts,
    term: u64,
) -> SchedulerCore {
    let now = parts.clock.now();
    let guards = guards_of(&parts.lead.ledger).into_keys().collect();
    let rules = Box::new(RackFirstPlacing);
    let mut scheduler = Scheduler::new(term, parts.leases, parts.far_factor, rules, guards, now);
    parts.lead.ledger.view(|fold| {
        for view in fold.jobs.values() {
            scheduler.take_job(view);
        }
    });
    SchedulerCore {
        term,
        clock: parts.clock.clone(),
        scheduler: RefCell::new(scheduler),
        turn_due: Event::new(),
        record_due: Event::new(),
        wakes: RefCell::default(),
        sessions: RefCell::default(),
        deposed: Cell::new(false),
    }
}

async fn run_turns(
    parts: &SchedulerParts,
    core: &Rc<SchedulerCore>,
) {
    let ledger = &parts.lead.ledger;
    loop {
        let due = core.turn_due.listen();
        let news = ledger.listen();
        if core.deposed.get() || parts.lead.is_stopping.get() {
            return;
        }
        if !parts.lead.is_current_term(core.term) {
            core.depose("another entry has claimed the lead");
            return;
        }
        meet_guards(core, ledger);
        take_news(parts, core);
        turn(core);
        export(parts, core);
        core.clock.sleep(TURN_GAP).await;
        let either = futures_util::future::select(due, news);
        with_timeout(&*core.clock, TURN_INTERVAL, either).await;
    }
}

/// Opens sessions with guards that are new on the ledger, and ends those with guards that are gone
/// from it.
fn meet_guards(
    core: &Rc<SchedulerCore>,
    ledger: &Ledger,
) {
    let guards = guards_of(ledger);
    let known: Vec<UpstreamName> = core.wakes.borrow().keys().cloned().collect();
    for name in known.iter().filter(|n| !guards.contains_key(n)) {
        core.forget_guard(name);
    }
    for (name, member) in guards {
        let is_known = core
            .wakes
            .borrow()
            .get(&name)
            .is_some_and(|(m, _)| m.address == member.address);
        if is_known {
            continue;
        }
        let wake = Rc::new(Event::new());
        let group = TaskGroup::default();
        group.spawn(keep_session(core.clone(), member.clone(), wake.clone()));
        core.wakes.borrow_mut().insert(name.clone(), (member, wake));
        core.sessions.borrow_mut().insert(name, group);
    }
}

fn take_news(
    parts: &SchedulerParts,
    core: &SchedulerCore,
) {
    let mut scheduler = core.scheduler.borrow_mut();
    scheduler.table.clone_from(&parts.table.borrow());
    let changed = parts.lead.ledger.take_changed_jobs();
    parts.lead.ledger.view(|fold| {
        for view in changed.iter().filter_map(|id| fold.jobs.get(id)) {
            scheduler.take_job(view);
        }
    });
}

fn turn(core: &SchedulerCore) {
    let (now, wall) = (core.clock.now(), core.clock.wall());
    core.scheduler.borrow_mut().turn(now, wall);
    core.note_recorded();
    let names: Vec<UpstreamName> = core.wakes.borrow().keys().cloned().collect();
    for name in names {
        if core.scheduler.borrow().has_orders(&name) {
            core.wake(&name);
        }
    }
    core.record_due.notify(usize::MAX);
}

/// Exports what has happened.
fn export(
    parts: &SchedulerParts,
    core: &SchedulerCore,
) {
    let metrics = &parts.metrics;
    let now = core.clock.now();
    let mut scheduler = core.scheduler.borrow_mut();
    let counts = std::mem::take(&mut scheduler.counts);
    for (event, count) in counts.runs {
        metrics.runs.with_label_values(&[event]).inc_by(count);
    }
    for (priority, waited) in counts.waits {
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

fn guards_of(ledger: &Ledger) -> BTreeMap<UpstreamName, Member> {
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
