//! Admits callers' requests within rate limits, queue bounds, deadlines and retry budgets.

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

/// Number of retries that each admitted request adds to its account's budget.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Upper limit of the retries that an account can save.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Base of the exponential backoff; the upper bound of a pause is this, doubled for each attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(10);

/// Longest pause before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Shortest time for which an upstream counts as full after its guard refused a request; jitter
/// makes it up to three times as long.
const MIN_FULL_TIME: Duration = Duration::from_millis(20);

/// Queue, limits, upstream loads and retry budgets of one entry.
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

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct IncomingRequest<'a> {
    /// The account that sent the request.
    pub account: &'a Account,
    /// The kind of the request.
    pub kind: &'a RequestKind,
    /// The body of the request.
    pub body: &'a [u8],
    /// Total time that the caller waits for the answer.
    pub deadline: Duration,
    /// Number of entries that share the limits.
    pub entry_count: u32,
}

/// Returns one entry's portion of a limit that all entries share: at least 1, unless the limit
/// is 0.
pub(super) fn per_entry_limit(
    limit: u32,
    entries: u32,
) -> u32 {
    (limit / entries.max(1)).max(limit.min(1))
}

impl Admission {
    /// Creates an admission without requests; `seed` seeds the jitter of its pauses.
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

    /// Checks a new request against earlier failures of its content, its account's queue bound,
    /// its deadline and the rate limits, and credits its account's retry budget.
    ///
    /// # Errors
    /// Returns the reason why the request is not run.
    pub fn check(
        &self,
        req: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        self.check_poison(req)?;
        self.check_queue(req)?;
        self.check_deadline(req)?;
        self.check_rates(req)?;
        self.credit_retry_budget(&req.account.name);
        Ok(())
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.borrow().total()
    }

    /// Spends one retry of an account's budget; returns `false` if none is left.
    pub fn try_acquire_retry(
        &self,
        account: &AccountName,
    ) -> bool {
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets
            .get_mut(account)
            .is_some_and(TokenBucket::try_acquire)
    }

    /// Returns the pause before a retry: exponential in `attempt`, with full jitter.
    pub fn backoff(
        &self,
        attempt: u32,
    ) -> Duration {
        let longest = BACKOFF_BASE * 2_u32.pow(attempt.min(8));
        let longest = longest.min(MAX_BACKOFF).as_millis() as u64;
        Duration::from_millis(self.rng.borrow_mut().random_range(1..=longest))
    }

    /// Returns a listener for the next released slot.
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
        let mut run_times = self.run_times.borrow_mut();
        let mean_ms = run_times.mean_ms(kind).unwrap_or(took_ms);
        let ratio = (took_ms + 1.0) / (mean_ms + 1.0);
        run_times.record(kind, took_ms);
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
        let mut detector = self.poison_detector.borrow_mut();
        let counts_against_upstream = detector.record_failure(now, fingerprint, upstream);
        let ejected =
            counts_against_upstream && self.loads.borrow_mut().record_failure(now, upstream);
        if ejected {
            tracing::warn!(%upstream, "upstream ejected: it fails more often than its peers");
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

    /// Counts a request as ended and notifies a listener that its slot is released.
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
        req: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let mut detector = self.poison_detector.borrow_mut();
        if detector.is_empty() {
            return Ok(());
        }
        let IncomingRequest { account, kind, .. } = req;
        let fingerprint = Fingerprint::of(&account.name, &kind.name, req.body);
        if detector.is_rejected(self.clock.now(), fingerprint) {
            return Err(NotRun::FailsEverywhere);
        }
        Ok(())
    }

    fn check_rates(
        &self,
        req: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let now = self.clock.now();
        let IncomingRequest { account, kind, .. } = req;
        let rate = per_entry_limit(account.max_rate_per_s, req.entry_count);
        acquire_token(
            &mut self.account_rates.borrow_mut(),
            &account.name,
            rate,
            now,
        )?;
        match kind.max_rate_per_s {
            Some(rate) => {
                let rate = per_entry_limit(rate, req.entry_count);
                acquire_token(&mut self.kind_rates.borrow_mut(), &kind.name, rate, now)
            }
            None => Ok(()),
        }
    }

    fn check_queue(
        &self,
        req: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let queued = self.queue.borrow().len_of(&req.account.name);
        if queued >= req.account.max_queued as usize {
            return Err(NotRun::QueueFull {
                retry_after: self.expected_wait(req),
            });
        }
        Ok(())
    }

    /// Rejects a request whose expected wait is longer than its account or its deadline allows.
    fn check_deadline(
        &self,
        req: IncomingRequest<'_>,
    ) -> Result<(), NotRun> {
        let Some(run_ms) = self.run_times.borrow().mean_ms(&req.kind.name) else {
            return Ok(());
        };
        let wait = self.expected_wait(req);
        let run = Duration::from_secs_f64(run_ms / 1000.0);
        let longest = req.deadline.saturating_sub(run);
        let longest = longest.min(req.account.max_wait);
        if wait <= longest {
            return Ok(());
        }
        Err(NotRun::Deadline {
            retry_after: wait - longest,
        })
    }

    /// Estimates how long a new request waits for the requests that are queued ahead of it.
    fn expected_wait(
        &self,
        req: IncomingRequest<'_>,
    ) -> Duration {
        let IncomingRequest { account, kind, .. } = req;
        let queue = self.queue.borrow();
        if queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = queue.ahead_of(kind.class, &account.name, account.share);
        let own = queue.len_of(&account.name) as f64;
        let in_flight = self.in_flight.borrow().total().max(1);
        let own_limit = per_entry_limit(account.max_in_flight, req.entry_count).max(1);
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

/// Acquires a token of a rate limit, which allows bursts of one second.
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

/// View of the load table at one point in time.
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
