//! Runs one request: waits for a place, sends it, and tries again as its outcome allows.

use {
    super::{NotRun, Outcome, claimed::run_claimed},
    crate::{
        connection::{GuardReply, GuardRequest, LinkError, Refusal, RunGrant},
        prelude::*,
        process::{
            admission::{IncomingRequest, SendPermit},
            clock::with_timeout,
            entry::Entry,
        },
        version::RequestKind,
    },
};

/// The most upstreams that one request is tried on after a failure.
const MAX_FAILED_ATTEMPTS: usize = 3;

/// How much longer than the guard an entry waits for an answer.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// The HTTP status from which an answer tells of a failure of the upstream.
const MIN_FAILURE_STATUS: u16 = 500;

/// A request as its caller sent it, already authorised.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request's identity.
    pub id: RequestId,
    /// The account that sent it.
    pub account: AccountName,
    /// Its kind.
    pub kind: RequestKind,
    /// Its body.
    pub body: Bytes,
    /// How long the caller waits, in all.
    pub deadline: Duration,
    /// The key under which the caller sends the request again.
    pub idempotency_key: Option<Arc<str>>,
}

/// What one try at one upstream brought.
enum AttemptResult {
    /// The upstream answered.
    Answered { status: u16, body: Bytes },
    /// The guard had no slot; nothing was run.
    Busy,
    /// The upstream was not reached; nothing was run.
    NotRun,
    /// The request may have run, and its answer is lost.
    Lost,
}

/// How far a request has come.
struct RetryState {
    deadline: Millis,
    queue_deadline: Millis,
    attempts: u32,
    tried: Vec<UpstreamName>,
    last_failure: Option<Outcome>,
}

impl RetryState {
    fn new(
        entry: &Entry,
        req: &CallerRequest,
    ) -> Self {
        let now = entry.clock.now();
        let give_up = now + Millis::from(req.deadline);
        let document = entry.document();
        let account = document.accounts.get(&req.account);
        let max_wait = account.map_or(Duration::ZERO, |a| a.max_wait);
        Self {
            deadline: give_up,
            queue_deadline: give_up.min(now + Millis::from(max_wait)),
            attempts: 0,
            tried: Vec::new(),
            last_failure: None,
        }
    }

    /// Returns the outcome when no further try is made: what the last failed one brought, or that
    /// nothing was run.
    fn into_outcome(
        self,
        reason: NotRun,
    ) -> Outcome {
        self.last_failure.unwrap_or(Outcome::NotRun(reason))
    }
}

/// Runs a request to its outcome.
pub async fn run_request(
    entry: &Rc<Entry>,
    req: &CallerRequest,
) -> Outcome {
    if let Err(reason) = check_limits(entry, req) {
        return Outcome::NotRun(reason);
    }
    match &req.idempotency_key {
        Some(key) if !req.kind.idempotent => run_claimed(entry, req, key).await,
        _ => run_admitted(entry, req).await,
    }
}

/// Checks the limits of the account and the kind.
fn check_limits(
    entry: &Entry,
    req: &CallerRequest,
) -> Result<(), NotRun> {
    let document = entry.document();
    let account = document.accounts.get(&req.account);
    let account = account.ok_or(NotRun::NoUpstream)?;
    entry.admission.check(IncomingRequest {
        account,
        kind: &req.kind,
        body: &req.body,
        deadline: req.deadline,
        entry_count: entry.live_entries().len() as u32,
    })
}

/// Runs a request that has passed the checks.
pub(super) async fn run_admitted(
    entry: &Rc<Entry>,
    req: &CallerRequest,
) -> Outcome {
    let mut course = RetryState::new(entry, req);
    loop {
        let waited_before = course.attempts > 0;
        let admission = &entry.admission;
        let placing = admission.acquire_permit(
            entry,
            req,
            &course.tried,
            waited_before,
            course.queue_deadline,
        );
        let place = match placing.await {
            Ok(place) => place,
            Err(reason) => return course.into_outcome(reason),
        };
        course.attempts += 1;
        let attempt = try_upstream(entry, req, &place, &course).await;
        let upstream = place.upstream().clone();
        record_attempt(entry, req, &place, &attempt);
        drop(place);
        match attempt {
            AttemptResult::Busy => continue,
            AttemptResult::Answered { status, body } => {
                let is_failure = status >= MIN_FAILURE_STATUS;
                let answer = Outcome::Answered { status, body };
                if !is_failure || !req.kind.idempotent {
                    return answer;
                }
                course.last_failure = Some(answer);
            }
            AttemptResult::Lost if !req.kind.idempotent => return Outcome::Unknown,
            AttemptResult::Lost => course.last_failure = Some(Outcome::Unknown),
            AttemptResult::NotRun => {}
        }
        course.tried.push(upstream);
        if course.tried.len() >= MAX_FAILED_ATTEMPTS || !admission.try_acquire_retry(&req.account) {
            return course.into_outcome(NotRun::RetryBudget);
        }
        entry.metrics.retries.inc();
        let pause = admission.backoff(course.tried.len() as u32);
        entry.clock.sleep(pause).await;
    }
}

/// Tells the admission how the upstream did.
fn record_attempt(
    entry: &Entry,
    req: &CallerRequest,
    place: &SendPermit,
    attempt: &AttemptResult,
) {
    let now = entry.clock.now();
    match attempt {
        AttemptResult::Answered { status, .. } if *status < MIN_FAILURE_STATUS => {
            place.record_answer(now)
        }
        AttemptResult::Busy => place.record_refusal(now),
        AttemptResult::Answered { .. } | AttemptResult::Lost | AttemptResult::NotRun => {
            place.record_failure(now, &req.body)
        }
    }
}

/// Sends the request to one upstream.
async fn try_upstream(
    entry: &Entry,
    req: &CallerRequest,
    place: &SendPermit,
    course: &RetryState,
) -> AttemptResult {
    let Some(peer) = entry.peer_of(place.upstream()) else {
        return AttemptResult::Busy;
    };
    let remaining = course.deadline.since(entry.clock.now());
    let timeout = req.kind.timeout.min(remaining);
    let grant = RunGrant {
        id: req.id,
        attempt: course.attempts,
        idempotent: req.kind.idempotent,
        account: req.account.clone(),
        kind: req.kind.name.clone(),
        body: req.body.clone(),
        timeout_ms: Millis::from(timeout).0,
        max_answer: req.kind.max_answer,
        sent_ms: entry.clock.wall().0,
    };
    let call = peer.call(GuardRequest::Run(grant));
    let reply = with_timeout(&*entry.clock, timeout + REPLY_GRACE, call).await;
    read_reply(entry, req, reply.unwrap_or(Err(LinkError::ReplyLost)))
}

fn read_reply(
    entry: &Entry,
    req: &CallerRequest,
    reply: Result<GuardReply, LinkError>,
) -> AttemptResult {
    match reply {
        Ok(GuardReply::Answer { id, status, body }) if id == req.id => {
            AttemptResult::Answered { status, body }
        }
        Ok(GuardReply::Answer { id, .. }) => {
            entry.metrics.crossed_answers.inc();
            tracing::error!(request = %req.id, answered = %id, "an answer to another request was dropped");
            AttemptResult::Lost
        }
        Ok(GuardReply::Refused(Refusal::Worker)) | Err(LinkError::NotSent) => AttemptResult::NotRun,
        Ok(GuardReply::Refused(_)) => AttemptResult::Busy,
        Ok(_) | Err(LinkError::ReplyLost) => AttemptResult::Lost,
    }
}
