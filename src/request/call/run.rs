//! Runs a request: waits for a permit, sends it, and retries it if that is safe.

use {
    super::{NotRun, Outcome, claimed::run_claimed},
    crate::{
        connection::{GuardReply, GuardRequest, LinkError, Refusal, RequestCall},
        prelude::*,
        process::{
            admission::{IncomingRequest, SendPermit},
            clock::with_timeout,
            entry::Entry,
        },
        version::RequestKind,
    },
};

/// Number of failed attempts after which a request is not retried.
const MAX_FAILED_ATTEMPTS: usize = 3;

/// Time that an entry waits for a reply after the guard's timeout.
const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Lowest HTTP status that counts as a failure of the upstream.
const MIN_FAILURE_STATUS: u16 = 500;

/// A request as its caller sent it, after authorisation.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Account that sent it.
    pub account: AccountName,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Body of the request.
    pub body: Bytes,
    /// Total time that the caller waits for the answer.
    pub deadline: Duration,
    /// Key that identifies the request when the caller sends it again.
    pub idempotency_key: Option<Arc<str>>,
}

/// Result of one attempt at one upstream.
enum AttemptResult {
    /// The upstream answered.
    Answered { status: u16, body: Bytes },
    /// The guard refused the request or the upstream has departed; nothing was run.
    Busy,
    /// The upstream was not reached; nothing was run.
    NotRun,
    /// The request may have run, but its answer is lost.
    Lost,
}

/// Deadlines and attempts of a running request.
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
        let deadline = now + Millis::from(req.deadline);
        let document = entry.document();
        let account = document.accounts.get(&req.account);
        let max_wait = account.map_or(Duration::ZERO, |a| a.max_wait);
        Self {
            deadline,
            queue_deadline: deadline.min(now + Millis::from(max_wait)),
            attempts: 0,
            tried: Vec::new(),
            last_failure: None,
        }
    }

    /// Returns the outcome if no further attempt is made: that of the last failed attempt, or
    /// `reason` if nothing was run.
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
        entry_count: entry.live_entry_names().len() as u32,
    })
}

/// Runs a request that has passed the limits.
pub(super) async fn run_admitted(
    entry: &Rc<Entry>,
    req: &CallerRequest,
) -> Outcome {
    let mut state = RetryState::new(entry, req);
    loop {
        let is_retry = state.attempts > 0;
        let admission = &entry.admission;
        let acquiring =
            admission.acquire_permit(entry, req, &state.tried, is_retry, state.queue_deadline);
        let permit = match acquiring.await {
            Ok(permit) => permit,
            Err(reason) => return state.into_outcome(reason),
        };
        state.attempts += 1;
        let result = send_attempt(entry, req, &permit, &state).await;
        let upstream = permit.upstream().clone();
        record_attempt(entry, req, &permit, &result);
        drop(permit);
        match result {
            AttemptResult::Busy => continue,
            AttemptResult::Answered { status, body } => {
                let is_failure = status >= MIN_FAILURE_STATUS;
                let answer = Outcome::Answered { status, body };
                if !is_failure || !req.kind.idempotent {
                    return answer;
                }
                state.last_failure = Some(answer);
            }
            AttemptResult::Lost if !req.kind.idempotent => return Outcome::Unknown,
            AttemptResult::Lost => state.last_failure = Some(Outcome::Unknown),
            AttemptResult::NotRun => {}
        }
        state.tried.push(upstream);
        if state.tried.len() >= MAX_FAILED_ATTEMPTS || !admission.try_acquire_retry(&req.account) {
            return state.into_outcome(NotRun::RetryBudget);
        }
        entry.metrics.request_retries.inc();
        let pause = admission.backoff(state.tried.len() as u32);
        entry.clock.sleep(pause).await;
    }
}

/// Records the result of an attempt for later routing.
fn record_attempt(
    entry: &Entry,
    req: &CallerRequest,
    permit: &SendPermit,
    result: &AttemptResult,
) {
    let now = entry.clock.now();
    match result {
        AttemptResult::Answered { status, .. } if *status < MIN_FAILURE_STATUS => {
            permit.record_answer(now);
        }
        AttemptResult::Busy => permit.record_refusal(now),
        AttemptResult::Answered { .. } | AttemptResult::Lost | AttemptResult::NotRun => {
            permit.record_failure(now, &req.body);
        }
    }
}

/// Sends the request to one upstream.
async fn send_attempt(
    entry: &Entry,
    req: &CallerRequest,
    permit: &SendPermit,
    state: &RetryState,
) -> AttemptResult {
    let Some(peer) = entry.peer_of(permit.upstream()) else {
        return AttemptResult::Busy;
    };
    let remaining = state.deadline.since(entry.clock.now());
    let timeout = req.kind.timeout.min(remaining);
    let request_call = RequestCall {
        id: req.id,
        attempt: state.attempts,
        idempotent: req.kind.idempotent,
        account: req.account.clone(),
        kind: req.kind.name.clone(),
        body: req.body.clone(),
        timeout_ms: Millis::from(timeout).0,
        max_answer_bytes: req.kind.max_answer,
        sent_ms: entry.clock.wall_time().0,
    };
    let call = peer.call(GuardRequest::Run(request_call));
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
            entry.metrics.mismatched_answers.inc();
            tracing::error!(request = %req.id, answered = %id, "dropped an answer that names another request");
            AttemptResult::Lost
        }
        Ok(GuardReply::Refused(Refusal::Worker)) | Err(LinkError::NotSent) => AttemptResult::NotRun,
        Ok(GuardReply::Refused(_)) => AttemptResult::Busy,
        Ok(_) | Err(LinkError::ReplyLost) => AttemptResult::Lost,
    }
}
