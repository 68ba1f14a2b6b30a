//! The admission of requests.

use {
    super::{
        FairQueue, InFlightCounts, LoadTable, PoisonDetector, RunTimes, TokenBucket,
        dispatch::QueuedRequest,
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
const RETRIES_PER_REQUEST: f64 = 0.1;

/// The most retries that an account can have saved.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// The shortest pause before a retry; it doubles with each one.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// The longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// How long an upstream counts as full after its guard refused.
const MIN_FULL_TIME: Duration = Duration::from_millis(20);

/// The queue, limits, loads and retry budgets of one entry.
pub struct Admission {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) queue: RefCell<FairQueue<QueuedRequest>>,
    pub(super) loads: RefCell<LoadTable>,
    pub(super) in_flight: RefCell<InFlightCounts>,
    pub(super) run_times: RefCell<RunTimes>,
    account_rates: RefCell<BTreeMap<AccountName, TokenBucket>>,
    kind_rates: RefCell<BTreeMap<KindName, TokenBucket>>,
    retry_budgets: RefCell<BTreeMap<AccountName, TokenBucket>>,
    poison_detector: RefCell<PoisonDetector>,
    rng: RefCell<StdRng>,
    changed: Event,
}

/// A request at the door: who sends it, what it is and how long its caller waits.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// The account.
    pub account: &'a Account,
    /// The kind.
    pub kind: &'a RequestKind,
    /// The body.
    pub body: &'a [u8],
    /// How long the caller waits, in all.
    pub deadline: Duration,
    /// The number of entries among which limits are divided.
    pub entry_count: u32,
}

/// Returns one entry's part of a limit that holds for all entries.
pub(super) fn per_entry_limit(
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
            run_times: RefCell::default(),
            account_rates: RefCell::default(),
            kind_rates: RefCell::default(),
            retry_budgets: RefCell::default(),
            poison_detector: RefCell::default(),
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
        arrival: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        self.check_poison(arrival)?;
        self.check_queue(arrival)?;
        self.check_deadline(arrival)?;
        self.check_rates(arrival)?;
        self.credit_retry_budget(&arrival.account.name);
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
    pub fn try_acquire_retry(
        &self,
        account: &AccountName,
    ) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets
            .get_mut(account)
            .is_some_and(TokenBucket::try_acquire)
    }

    /// Returns the pause before the retry after the given attempt: exponential with full jitter.
    pub fn backoff(
        &self,
        attempt: u32,
    ) -> Duration {
        let longest = BACKOFF_BASE * 2_u32.pow(attempt.min(8));
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
        let mut kinds = self.run_times.borrow_mut();
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
        let mut suspects = self.poison_detector.borrow_mut();
        let blamed = suspects.record_failure(now, fingerprint, upstream);
        let ejected = blamed && self.loads.borrow_mut().record_failure(now, upstream);
        if ejected {
            tracing::warn!(%upstream, "ejected: it fails more than its peers");
        }
    }

    pub(super) fn record_refusal(
        &self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        let jitter = self.rng.borrow_mut().random_range(0.0..2.0);
        let until = now + Millis::from(MIN_FULL_TIME.mul_f64(1.0 + jitter));
        self.loads.borrow_mut().mark_full(upstream, until);
    }

    /// Counts a request out and lets the next one in.
    pub(super) fn release(
        &self,
        upstream: &UpstreamName,
        account: &AccountName,
        kind: &KindName,
    ) {
        let now = self.clock.now();
        self.loads.borrow_mut().release_slot(now, upstream);
        self.in_flight.borrow_mut().decrement(account, kind);
        self.changed.notify(1);
    }

    fn check_poison(
        &self,
        arrival: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let mut suspects = self.poison_detector.borrow_mut();
        if suspects.is_empty() {
            return Ok(());
        }
        let IncomingRequest { account, kind, .. } = arrival;
        let fingerprint = Fingerprint::of(&account.name, &kind.name, arrival.body);
        if suspects.is_refused(self.clock.now(), fingerprint) {
            return Err(NotRun::FailsEverywhere);
        }
        Ok(())
    }

    fn check_rates(
        &self,
        arrival: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let now = self.clock.now();
        let IncomingRequest { account, kind, .. } = arrival;
        let rate = per_entry_limit(account.max_rate_per_s, arrival.entry_count);
        acquire_token(
            &mut self.account_rates.borrow_mut(),
            &account.name,
            rate,
            now,
        )?;
        match kind.max_rate_per_s {
            Some(rate) => {
                let rate = per_entry_limit(rate, arrival.entry_count);
                acquire_token(&mut self.kind_rates.borrow_mut(), &kind.name, rate, now)
            }
            None => Ok(()),
        }
    }

    fn check_queue(
        &self,
        arrival: IncomingRequest<'_>,
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
        arrival: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let Some(run_ms) = self.run_times.borrow().mean_ms(&arrival.kind.name) else {
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
        arrival: IncomingRequest<'_>,
    ) -> Duration {
        let IncomingRequest { account, kind, .. } = arrival;
        let queue = self.queue.borrow();
        if queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = queue.ahead_of(kind.class, &account.name, account.share);
        let own = queue.len_of(&account.name) as f64;
        let in_flight = self.in_flight.borrow().total().max(1);
        let own_limit = per_entry_limit(account.max_in_flight, arrival.entry_count).max(1);
        let run_ms = self.run_times.borrow().expected_ms(&kind.name);
        let shared_ms = ahead * run_ms / f64::from(in_flight);
        let own_ms = own * run_ms / f64::from(own_limit);
        Duration::from_secs_f64(shared_ms.max(own_ms) / 1000.0)
    }

    fn credit_retry_budget(
        &self,
        account: &AccountName,
    ) {
        let mut budgets = self.retry_budgets.borrow_mut();
        let full = TokenBucket::full(MAX_SAVED_RETRIES, Millis::default());
        let budget = budgets.entry(account.clone()).or_insert(full);
        budget.add(RETRIES_PER_REQUEST);
    }
}

/// Takes a token of a rate limit, which allows bursts of one second.
fn acquire_token<N>(
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
    bucket.refill(now, per_s, per_s.max(1.0));
    if bucket.try_acquire() {
        return Ok(());
    }
    Err(NotRun::RateLimit {
        retry_after: bucket.time_to_token(per_s),
    })
}

/// The load table at one time.
pub(super) struct LoadsAt<'a> {
    pub(super) loads: &'a LoadTable,
    pub(super) now: Millis,
}

impl LoadSource for LoadsAt<'_> {
    fn load_of(
        &self,
        upstream: &crate::process::membership::Announcement,
    ) -> UpstreamLoad {
        self.loads.load_of(self.now, upstream)
    }
}
