//! The admission of requests.

use {
    super::{
        FairQueue, InFlightCounts, KindTimes, LoadTable, Suspects, TokenBucket, dispatch::Waiting,
    },
    crate::{
        prelude::*,
        request::{Fingerprint, LoadSource, NotRun, UpstreamLoad},
        version::{Account, RequestKind},
    },
    event_listener::{Event, EventListener},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::collections::BTreeMap,
};

/// The retries that each first try adds to its account's budget.
const BUDGET_PER_TRY: f64 = 0.1;

/// The most retries that an account can have saved.
const BUDGET_LIMIT: f64 = 10.0;

/// The shortest pause before a retry; it doubles with each one.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);

/// The longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// How long an upstream counts as full after its guard refused.
const FULL_SPAN: Duration = Duration::from_millis(20);

/// The queue, limits, loads and retry budgets of one entry.
pub struct Admission {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) queue: RefCell<FairQueue<Waiting>>,
    pub(super) loads: RefCell<LoadTable>,
    pub(super) in_flight: RefCell<InFlightCounts>,
    pub(super) kinds: RefCell<KindTimes>,
    account_rates: RefCell<BTreeMap<AccountName, TokenBucket>>,
    kind_rates: RefCell<BTreeMap<KindName, TokenBucket>>,
    retry_budgets: RefCell<BTreeMap<AccountName, TokenBucket>>,
    suspects: RefCell<Suspects>,
    rng: RefCell<StdRng>,
    changed: Event,
}

/// A request at the door: who sends it, what it is and how long its caller waits.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The account.
    pub account: &'a Account,
    /// The kind.
    pub kind: &'a RequestKind,
    /// The body.
    pub body: &'a [u8],
    /// How long the caller waits, in all.
    pub deadline: Duration,
    /// The number of entries among which limits are divided.
    pub entries: u32,
}

/// Returns one entry's part of a limit that holds for all entries.
pub(super) fn entry_part(
    limit: u32,
    entries: u32,
) -> u32 {
    (limit / entries.max(1)).max(limit.min(1))
}

impl Admission {
    /// Creates an idle admission; `seed` is that of its pauses.
    pub fn new(
        clock: Rc<dyn Clock>,
        seed: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            queue: RefCell::default(),
            loads: RefCell::default(),
            in_flight: RefCell::default(),
            kinds: RefCell::default(),
            account_rates: RefCell::default(),
            kind_rates: RefCell::default(),
            retry_budgets: RefCell::default(),
            suspects: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            changed: Event::new(),
        })
    }

    /// Checks a new request against rates, queue bounds and its deadline.
    ///
    /// # Errors
    /// Why the request is not run.
    pub fn check(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<(), NotRun> {
        self.check_suspect(arrival)?;
        self.check_queue(arrival)?;
        self.check_deadline(arrival)?;
        self.check_rates(arrival)?;
        self.add_to_budget(&arrival.account.name);
        Ok(())
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.borrow().total()
    }

    /// Takes a retry from an account's budget when there is one.
    pub fn take_retry(
        &self,
        account: &AccountName,
    ) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.get_mut(account).is_some_and(TokenBucket::take)
    }

    /// Returns the pause before the retry after the given attempt: exponential with full jitter.
    pub fn backoff(
        &self,
        attempt: u32,
    ) -> Duration {
        let longest = FIRST_BACKOFF * 2_u32.pow(attempt.min(8));
        let longest = longest.min(MAX_BACKOFF).as_millis() as u64;
        Duration::from_millis(self.rng.borrow_mut().random_range(1..=longest))
    }

    /// Waits for the next change of what can be sent.
    pub(super) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    pub(super) fn record_answer(
        &self,
        now: Millis,
        upstream: &UpstreamName,
        kind: &KindName,
        took: Duration,
    ) {
        let took_ms = took.as_secs_f64() * 1000.0;
        let mut kinds = self.kinds.borrow_mut();
        let mean_ms = kinds.mean_ms(kind).unwrap_or(took_ms);
        let ratio = (took_ms + 1.0) / (mean_ms + 1.0);
        kinds.record(kind, took_ms);
        self.loads.borrow_mut().record_answer(now, upstream, ratio);
    }

    pub(super) fn record_failure(
        &self,
        now: Millis,
        upstream: &UpstreamName,
        account: &AccountName,
        kind: &KindName,
        body: &[u8],
    ) {
        let fingerprint = Fingerprint::of(account, kind, body);
        let mut suspects = self.suspects.borrow_mut();
        let blamed = suspects.record_failure(now, fingerprint, upstream);
        let ejected = blamed && self.loads.borrow_mut().record_failure(now, upstream);
        if ejected {
            tracing::warn!(%upstream, "ejected: it fails more than its peers");
        }
    }

    pub(super) fn record_full(
        &self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        let jitter = self.rng.borrow_mut().random_range(0.0..2.0);
        let until = now + Millis::from(FULL_SPAN.mul_f64(1.0 + jitter));
        self.loads.borrow_mut().set_full(upstream, until);
    }

    /// Counts a request out and lets the next one in.
    pub(super) fn leave(
        &self,
        upstream: &UpstreamName,
        account: &AccountName,
        kind: &KindName,
    ) {
        let now = self.clock.now();
        self.loads.borrow_mut().give_back(now, upstream);
        self.in_flight.borrow_mut().leave(account, kind);
        self.changed.notify(1);
    }

    fn check_suspect(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<(), NotRun> {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.is_empty() {
            return Ok(());
        }
        let Arrival { account, kind, .. } = arrival;
        let fingerprint = Fingerprint::of(&account.name, &kind.name, arrival.body);
        if suspects.is_refused(self.clock.now(), fingerprint) {
            return Err(NotRun::FailsEverywhere);
        }
        Ok(())
    }

    fn check_rates(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<(), NotRun> {
        let now = self.clock.now();
        let Arrival { account, kind, .. } = arrival;
        let rate = entry_part(account.max_rate_per_s, arrival.entries);
        take_rate(
            &mut self.account_rates.borrow_mut(),
            &account.name,
            rate,
            now,
        )?;
        match kind.max_rate_per_s {
            Some(rate) => {
                let rate = entry_part(rate, arrival.entries);
                take_rate(&mut self.kind_rates.borrow_mut(), &kind.name, rate, now)
            }
            None => Ok(()),
        }
    }

    fn check_queue(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<(), NotRun> {
        let queued = self.queue.borrow().len_of(&arrival.account.name);
        if queued >= arrival.account.max_queued as usize {
            return Err(NotRun::QueueFull {
                retry_after: self.expected_wait(arrival),
            });
        }
        Ok(())
    }

    /// Refuses a request whose expected wait is above what its account or caller allows.
    fn check_deadline(
        &self,
        arrival: Arrival<'_>,
    ) -> Result<(), NotRun> {
        let Some(run_ms) = self.kinds.borrow().mean_ms(&arrival.kind.name) else {
            return Ok(());
        };
        let wait = self.expected_wait(arrival);
        let run = Duration::from_secs_f64(run_ms / 1000.0);
        let longest = arrival.deadline.saturating_sub(run);
        let longest = longest.min(arrival.account.max_wait);
        if wait <= longest {
            return Ok(());
        }
        Err(NotRun::Deadline {
            retry_after: wait - longest,
        })
    }

    /// Returns how long a new request is expected to wait, from what is ahead of it.
    fn expected_wait(
        &self,
        arrival: Arrival<'_>,
    ) -> Duration {
        let Arrival { account, kind, .. } = arrival;
        let queue = self.queue.borrow();
        if queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = queue.ahead_of(kind.class, &account.name, account.share);
        let own = queue.len_of(&account.name) as f64;
        let in_flight = self.in_flight.borrow().total().max(1);
        let own_limit = entry_part(account.max_in_flight, arrival.entries).max(1);
        let run_ms = self.kinds.borrow().expected_ms(&kind.name);
        let shared_ms = ahead * run_ms / f64::from(in_flight);
        let own_ms = own * run_ms / f64::from(own_limit);
        Duration::from_secs_f64(shared_ms.max(own_ms) / 1000.0)
    }

    fn add_to_budget(
        &self,
        account: &AccountName,
    ) {
        let mut budgets = self.retry_budgets.borrow_mut();
        let full = TokenBucket::full(BUDGET_LIMIT, Millis::default());
        let budget = budgets.entry(account.clone()).or_insert(full);
        budget.add(BUDGET_PER_TRY);
    }
}

/// Takes a token of a rate limit, which allows bursts of one second.
fn take_rate<N>(
    buckets: &mut BTreeMap<N, TokenBucket>,
    name: &N,
    per_s: u32,
    now: Millis,
) -> Result<(), NotRun>
where
    N: Clone + Ord,
{
    let per_s = f64::from(per_s);
    let full = TokenBucket::full(per_s.max(1.0), now);
    let bucket = buckets.entry(name.clone()).or_insert(full);
    bucket.fill(now, per_s, per_s.max(1.0));
    if bucket.take() {
        return Ok(());
    }
    Err(NotRun::RateLimit {
        retry_after: bucket.next_in(per_s),
    })
}

/// The load table at one time.
pub(super) struct LoadsNow<'a> {
    pub(super) loads: &'a LoadTable,
    pub(super) now: Millis,
}

impl LoadSource for LoadsNow<'_> {
    fn load_of(
        &self,
        upstream: &crate::process::membership::Announcement,
    ) -> UpstreamLoad {
        self.loads.load_of(self.now, upstream)
    }
}
