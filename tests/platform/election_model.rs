//! A bounded exhaustive search over the interleavings of two entries that claim, lead, pause and hand
//! over, with appends and orders that arrive late or whose answers are lost. The decisions on
//! claims, the conditions of the store, the state read from the ledger and the guards' check of
//! tokens are the real code.

use {
    limpetquay::{
        platform::stand_in::StoreModel,
        prelude::*,
        process::{
            ledger::{
                Candidacy, CandidateMachine, Condition, Fence, KeyedRecord, LEADER_TIMEOUT,
                LeaderRecord, LedgerFold, LedgerKey, LedgerRecord, StoreError,
            },
            runs::RunTracker,
        },
        request::{JobProgress, ProgressStamp, StepJobId},
    },
    std::{
        collections::{BTreeSet, HashSet, VecDeque},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

const CLAIMS: &str = "keyed.limpetquay-claims";
const LEDGER: &str = "keyed.limpetquay";
const JOB: StepJobId = StepJobId::from_number(7);
const GUARDS: usize = 2;
const TERM_SHIFT_BITS: u32 = 16;

/// The number of times that the leader's timeout may pass in one course.
const MAX_TIMEOUTS: u64 = 2;

/// The most appends and orders of one course whose answers may be lost.
const MAX_LOST_ANSWERS: u32 = 1;

/// The most claims of one course, which bounds the search.
const MAX_CLAIMS: u32 = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    /// The claim of a term was sent.
    Claiming(u64),
    /// The first record of a term was sent.
    Renewing(u64),
    /// That record is stored at an offset, up to which the ledger is still to be read.
    Reading(u64, u64),
    Leading(u64),
}

/// What is under way. Messages may be delivered in any order, or much later.
#[derive(Clone, Debug)]
enum Message {
    Claim { entry: usize, term: u64, end: u64 },
    Renewal { entry: usize, term: u64 },
    Announcement { entry: usize, term: u64 },
    Start { guard: usize, term: u64 },
}

#[derive(Clone, Debug)]
struct EntryState {
    candidacy: Candidacy,
    fold: LedgerFold,
    phase: Phase,
    /// The sequence number of the last append under the fence.
    sequence: u64,
    has_announced: bool,
    has_started: bool,
    /// Whether a leader before this one has announced the job, as the ledger said at the takeover.
    may_have_started: bool,
    /// The guards that have reported in this term, and whether the job runs there.
    reports: [Option<bool>; GUARDS],
}

#[derive(Clone, Debug)]
struct GuardState {
    tracker: RunTracker,
    /// The lowest token that the worker accepts.
    worker_fence: u64,
    runs: bool,
}

/// The state of the whole system.
#[derive(Clone, Debug)]
struct System {
    store: StoreModel,
    entries: Vec<EntryState>,
    guards: Vec<GuardState>,
    messages: Vec<Message>,
    now: Millis,
    lost_answers: u32,
    claims: u32,
    /// The steps that led to this state.
    course: Vec<String>,
}

fn entry_name(entry: usize) -> EntryName {
    EntryName::from(["a", "b"][entry])
}

fn leader_record(
    entry: usize,
    term: u64,
) -> LeaderRecord {
    LeaderRecord {
        entry: entry_name(entry),
        boot: entry as u64,
        term: Some(term),
        resigned: false,
        nonce: 0,
    }
}

fn stored_leader(
    entry: usize,
    term: u64,
) -> KeyedRecord {
    let record = LedgerRecord::Leader(leader_record(entry, term));
    LedgerKey::Leader
        .record(&record)
        .expect("an encodable record")
}

fn announcement(term: u64) -> KeyedRecord {
    let progress = JobProgress {
        stamp: ProgressStamp { term, number: 1 },
        ..JobProgress::default()
    };
    let record = LedgerRecord::Progress(progress);
    let key = LedgerKey::Progress(JOB);
    key.record(&record).expect("an encodable record")
}

impl System {
    fn new() -> Self {
        let machine = CandidateMachine {
            cpu_milli: 500,
            link_kbps: 100_000,
        };
        let entries = (0..2).map(|entry| EntryState {
            candidacy: Candidacy::new(entry_name(entry), entry as u64, machine, Millis(0)),
            fold: LedgerFold::default(),
            phase: Phase::Idle,
            sequence: 0,
            has_announced: false,
            has_started: false,
            may_have_started: false,
            reports: [None; GUARDS],
        });
        let guards = (0..GUARDS).map(|_| GuardState {
            tracker: RunTracker::default(),
            worker_fence: 0,
            runs: false,
        });
        Self {
            store: StoreModel::default(),
            entries: entries.collect(),
            guards: guards.collect(),
            messages: Vec::new(),
            now: Millis(0),
            lost_answers: 0,
            claims: 0,
            course: Vec::new(),
        }
    }

    /// Returns a copy with a step added to its course.
    fn after(
        &self,
        step: String,
    ) -> Self {
        let mut next = self.clone();
        next.course.push(step);
        next
    }

    /// Returns the states that can follow this one.
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        if self.now.0 < MAX_TIMEOUTS * 2000 {
            let mut later = self.after("time passes".to_owned());
            later.now = self.now + Millis(2000);
            next.push(later);
        }
        for entry in 0..self.entries.len() {
            self.push_entry_steps(entry, &mut next);
        }
        for index in 0..self.messages.len() {
            let mut delivered = self.after(format!("delivered {:?}", self.messages[index]));
            let message = delivered.messages.remove(index);
            delivered.deliver(&message, true);
            next.push(delivered);
            if self.lost_answers < MAX_LOST_ANSWERS {
                let mut lost = self.after(format!("answer lost {:?}", self.messages[index]));
                let message = lost.messages.remove(index);
                lost.lost_answers += 1;
                lost.deliver(&message, false);
                next.push(lost);
            }
        }
        next
    }

    fn push_entry_steps(
        &self,
        entry: usize,
        next: &mut Vec<Self>,
    ) {
        let state = &self.entries[entry];
        let mut read = self.after(format!("{entry} reads"));
        if read.follow(entry) {
            next.push(read);
        }
        match state.phase {
            Phase::Idle => {
                let mut claiming = self.after(format!("{entry} claims"));
                // The entries are alike, so the first one claims first.
                let is_turn = self.claims > 0 || entry == 0;
                if is_turn && self.claims < MAX_CLAIMS && claiming.claim(entry) {
                    next.push(claiming);
                }
            }
            // The caller gives up waiting; the message is still under way.
            Phase::Claiming(_) | Phase::Renewing(_) if self.lost_answers < MAX_LOST_ANSWERS => {
                let mut abandoned = self.after(format!("{entry} stops waiting"));
                abandoned.entries[entry].phase = Phase::Idle;
                abandoned.lost_answers += 1;
                next.push(abandoned);
            }
            Phase::Claiming(_) | Phase::Renewing(_) => {}
            Phase::Reading(..) => {}
            Phase::Leading(term) => self.push_leader_steps(entry, term, next),
        }
    }

    fn push_leader_steps(
        &self,
        entry: usize,
        term: u64,
        next: &mut Vec<Self>,
    ) {
        let state = &self.entries[entry];
        for guard in 0..GUARDS {
            // To bound the search, guards report in any order in every second term only.
            let is_turn =
                guard == 0 || state.reports[guard - 1].is_some() || term.is_multiple_of(2);
            if is_turn && state.reports[guard].is_none() {
                let mut opened = self.after(format!("{entry} opens a session with {guard}"));
                if opened.open_session(entry, guard, term) {
                    next.push(opened);
                }
            }
        }
        if !state.has_announced {
            let is_under_way = self
                .messages
                .iter()
                .any(|m| matches!(m, Message::Announcement { entry: e, .. } if *e == entry));
            if !is_under_way {
                let mut announcing = self.after(format!("{entry} announces"));
                announcing
                    .messages
                    .push(Message::Announcement { entry, term });
                next.push(announcing);
            }
            return;
        }
        let all_reported = state.reports.iter().all(Option::is_some);
        let runs_somewhere = state.reports.contains(&Some(true));
        let may_start =
            !state.has_started && !runs_somewhere && (!state.may_have_started || all_reported);
        for guard in (0..GUARDS).filter(|g| may_start && state.reports[*g].is_some()) {
            let mut starting = self.after(format!("{entry} starts on {guard}"));
            starting.entries[entry].has_started = true;
            starting.messages.push(Message::Start { guard, term });
            next.push(starting);
        }
    }

    /// Reads the rest of the ledger. Returns whether anything was read or changed.
    fn follow(
        &mut self,
        entry: usize,
    ) -> bool {
        let from = self.entries[entry].fold.next_offset;
        let page = self.store.read(LEDGER, from).expect("a retained page");
        let state = &mut self.entries[entry];
        for record in &page.records {
            state.fold.apply(record, self.now);
        }
        state.fold.next_offset = page.end;
        let known_term = state.fold.leader.as_ref().map_or(0, |l| l.term);
        let before = state.phase;
        match state.phase {
            Phase::Reading(term, offset) if page.end > offset => {
                state.phase = if known_term > term {
                    Phase::Idle
                } else {
                    Phase::Leading(term)
                };
                state.may_have_started = state.fold.early_progress_of(JOB).is_some();
            }
            Phase::Leading(term) if known_term > term => state.phase = Phase::Idle,
            _ => {}
        }
        !page.records.is_empty() || before != state.phase
    }

    /// Reads the claims and sends a claim, if the candidacy allows one.
    fn claim(
        &mut self,
        entry: usize,
    ) -> bool {
        let page = self.store.newest(CLAIMS);
        let latest = page.records.last().and_then(|r| r.value.as_ref());
        let latest = latest.map(|v| match postcard::from_bytes(v) {
            Ok(LedgerRecord::Leader(claim)) => claim,
            other => panic!("a claim is expected: {other:?}"),
        });
        let state = &mut self.entries[entry];
        let leader = state.fold.leader.clone();
        let is_silent = leader.as_ref().is_none_or(|l| {
            l.entry == entry_name(entry) || self.now.since(l.heard) > LEADER_TIMEOUT
        });
        let known_term = leader.map_or(0, |l| l.term);
        let term = state
            .candidacy
            .term_to_claim(latest.as_ref(), known_term, self.now);
        let (true, Some(term)) = (is_silent, term) else {
            return false;
        };
        self.claims += 1;
        let state = &mut self.entries[entry];
        state.phase = Phase::Claiming(term);
        let end = page.end;
        self.messages.push(Message::Claim { entry, term, end });
        true
    }

    fn open_session(
        &mut self,
        entry: usize,
        guard: usize,
        term: u64,
    ) -> bool {
        let token = (term << TERM_SHIFT_BITS) + 1;
        let state = &mut self.guards[guard];
        if !state.tracker.open_session(token) {
            return false;
        }
        // The first poll of the session carries its token to the worker.
        state.worker_fence = state.worker_fence.max(token);
        self.entries[entry].reports[guard] = Some(state.runs);
        true
    }

    fn deliver(
        &mut self,
        message: &Message,
        is_answered: bool,
    ) {
        match *message {
            Message::Claim { entry, term, end } => {
                let record = [stored_leader(entry, term)];
                let result = self.store.append(CLAIMS, &record, Condition::EndsAt(end));
                let state = &mut self.entries[entry];
                if state.phase != Phase::Claiming(term) {
                    return;
                }
                state.phase = Phase::Idle;
                if is_answered && result.is_ok() {
                    state.phase = Phase::Renewing(term);
                    state.sequence = 0;
                    state.has_announced = false;
                    state.has_started = false;
                    state.reports = [None; GUARDS];
                    self.messages.push(Message::Renewal { entry, term });
                }
            }
            Message::Renewal { entry, term } => {
                let result = self.append_fenced(term, 1, stored_leader(entry, term));
                let state = &mut self.entries[entry];
                if state.phase != Phase::Renewing(term) {
                    return;
                }
                match result {
                    Ok(offset) if is_answered => state.phase = Phase::Reading(term, offset),
                    // The writer tries again until it has an answer.
                    Ok(_) => self.messages.push(message.clone()),
                    Err(_) => state.phase = Phase::Idle,
                }
            }
            Message::Announcement { entry, term } => {
                let result = self.append_fenced(term, 2, announcement(term));
                let state = &mut self.entries[entry];
                if state.phase != Phase::Leading(term) {
                    return;
                }
                match result {
                    Ok(_) if is_answered => state.has_announced = true,
                    Ok(_) => self.messages.push(message.clone()),
                    Err(_) => state.phase = Phase::Idle,
                }
            }
            Message::Start { guard, term } => {
                let token = (term << TERM_SHIFT_BITS) + 1;
                let state = &mut self.guards[guard];
                if state.tracker.is_current_token(token) && token >= state.worker_fence {
                    state.runs = true;
                }
            }
        }
    }

    fn append_fenced(
        &mut self,
        term: u64,
        sequence: u64,
        record: KeyedRecord,
    ) -> Result<u64, StoreError> {
        let fence = Fence {
            epoch: term,
            sequence,
        };
        self.store
            .append(LEDGER, &[record], Condition::Fenced(fence))
    }

    /// Returns what is wrong with this state.
    fn violation(&self) -> Option<String> {
        if self.guards.iter().filter(|g| g.runs).count() > 1 {
            return Some("the job runs on two workers".to_owned());
        }
        let leading = self.entries.iter().filter_map(|e| match e.phase {
            Phase::Leading(term) | Phase::Reading(term, _) | Phase::Renewing(term) => Some(term),
            Phase::Idle | Phase::Claiming(_) => None,
        });
        let terms: Vec<u64> = leading.collect();
        let distinct: BTreeSet<u64> = terms.iter().copied().collect();
        if distinct.len() < terms.len() {
            return Some(format!("two entries have one term: {terms:?}"));
        }
        None
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let state = Self {
            course: Vec::new(),
            ..self.clone()
        };
        format!("{state:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// What one search has reached.
#[derive(Debug, Default)]
struct Reached {
    states: usize,
    /// States in which the job runs.
    with_run: usize,
    /// States in which two entries believe that they lead.
    with_two_leaders: usize,
}

/// Searches up to `limit` states, the deepest ones first or the shallowest ones first.
///
/// # Panics
/// Panics with the course of steps if a state violates a guarantee.
fn search(
    limit: usize,
    is_deep_first: bool,
) -> Reached {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([System::new()]);
    let mut reached = Reached::default();
    loop {
        let system = if is_deep_first {
            queue.pop_back()
        } else {
            queue.pop_front()
        };
        let Some(system) = system else {
            break;
        };
        if let Some(violation) = system.violation() {
            panic!("{violation}: {:#?}", system.course);
        }
        let leading = system.entries.iter();
        let leading = leading.filter(|e| matches!(e.phase, Phase::Leading(_)));
        reached.with_two_leaders += usize::from(leading.count() == 2);
        reached.with_run += usize::from(system.guards.iter().any(|g| g.runs));
        if seen.len() >= limit {
            continue;
        }
        for next in system.successors() {
            if seen.insert(next.fingerprint()) {
                queue.push_back(next);
            }
        }
    }
    reached.states = seen.len();
    reached
}

/// Guards against two leaders whose orders both take effect, in any interleaving of pause, late
/// append, lost answer and hand-over.
///
/// `LIMPETQUAY_STATES` sets the number of states. The search fails within 200,000 states if the
/// store does not check fences or the end of the claims, or if a new leader starts a job that was
/// announced before without waiting for all guards.
#[test]
fn no_two_leaders_orders_both_take_effect() {
    let limit = std::env::var("LIMPETQUAY_STATES");
    let limit: usize = limit.ok().and_then(|v| v.parse().ok()).unwrap_or(40_000);
    let searches = [search(limit / 2, true), search(limit / 2, false)];
    println!("{searches:?}");
    assert!(searches[0].with_run > 0, "{searches:?}");
    assert!(searches[0].with_two_leaders > 0, "{searches:?}");
}
