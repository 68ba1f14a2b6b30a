//! Runs one request: waits for a place, sends it, and tries again as its outcome allows.

use {
    super::{NotRun, Outcome, claimed::run_claimed},
    crate::{
        connection::{GuardReply, GuardRequest, LinkError, Refusal, RunGrant},
        prelude::*,
        process::{
            admission::{Arrival, Place},
            clock::with_timeout,
            entry::Entry,
        },
        version::RequestKind,
    },
};

/// The most upstreams that one request is tried on after a failure.
const MAX_FAILED_TRIES: usize = 3;

/// How much longer than the guard an entry waits for an answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// The HTTP status from which an answer tells of a failure of the upstream.
const FIRST_FAILURE_STATUS: u16 = 500;

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
enum Attempt {
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
struct Course {
    give_up: Millis,
    wait_until: Millis,
    attempts: u32,
    tried: Vec<UpstreamName>,
    last_failure: Option<Outcome>,
}

impl Course {
    fn start(
        entry: &Entry,
        req: &CallerRequest,
    ) -> Self {
        let now = entry.clock.now();
        let give_up = now + Millis::from(req.deadline);
        let document = entry.document();
        let account = document.accounts.get(&req.account);
        let max_wait = account.map_or(Duration::ZERO, |a| a.max_wait);
        Self {
            give_up,
            wait_until: give_up.min(now + Millis::from(max_wait)),
            attempts: 0,
            tried: Vec::new(),
            last_failure: None,
        }
    }

    /// Returns the outcome when no further try is made: what the last failed one brought, or that
    /// nothing was run.
    fn end(
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
    if let Err(reason) = check(entry, req) {
        return Outcome::NotRun(reason);
    }
    match &req.idempotency_key {
        Some(key) if !req.kind.idempotent => run_claimed(entry, req, key).await,
        _ => run_admitted(entry, req).await,
    }
}

/// Checks the limits of the account and the kind.
fn check(
    entry: &Entry,
    req: &CallerRequest,
) -> Result<(), NotRun> {
    let document = entry.document();
    let account = document.accounts.get(&req.account);
    let account = account.ok_or(NotRun::NoUpstream)?;
    entry.admission.check(Arrival {
        account,
        kind: &req.kind,
        body: &req.body,
        deadline: req.deadline,
        entries: entry.live_entries().len() as u32,
    })
}

/// Runs a request that has passed the checks.
pub(super) async fn run_admitted(
    entry: &Rc<Entry>,
    req: &CallerRequest,
) -> Outcome {
    let mut course = Course::start(entry, req);
    loop {
        let waited_before = course.attempts > 0;
        let admission = &entry.admission;
        let placing = admission.place(entry, req, &course.tried, waited_before, course.wait_until);
        let place = match placing.await {
            Ok(place) => place,
            Err(reason) => return course.end(reason),
        };
        course.attempts += 1;
        let attempt = try_upstream(entry, req, &place, &course).await;
        let upstream = place.upstream().clone();
        note_attempt(entry, req, &place, &attempt);
        drop(place);
        match attempt {
            Attempt::Busy => continue,
            Attempt::Answered { status, body } => {
                let is_failure = status >= FIRST_FAILURE_STATUS;
                let answer = Outcome::Answered { status, body };
                if !is_failure || !req.kind.idempotent {
                    return answer;
                }
                course.last_failure = Some(answer);
            }
            Attempt::Lost if !req.kind.idempotent => return Outcome::Unknown,
            Attempt::Lost => course.last_failure = Some(Outcome::Unknown),
            Attempt::NotRun => {}
        }
        course.tried.push(upstream);
        if course.tried.len() >= MAX_FAILED_TRIES || !admission.take_retry(&req.account) {
            return course.end(NotRun::RetryBudget);
        }
        entry.metrics.retries.inc();
        let pause = admission.backoff(course.tried.len() as u32);
        entry.clock.sleep(pause).await;
    }
}

/// Tells the admission how the upstream did.
fn note_attempt(
    entry: &Entry,
    req: &CallerRequest,
    place: &Place,
    attempt: &Attempt,
) {
    let now = entry.clock.now();
    match attempt {
        Attempt::Answered { status, .. } if *status < FIRST_FAILURE_STATUS => place.answered(now),
        Attempt::Busy => place.refused(now),
        Attempt::Answered { .. } | Attempt::Lost | Attempt::NotRun => place.failed(now, &req.body),
    }
}

/// Sends the request to one upstream.
async fn try_upstream(
    entry: &Entry,
    req: &CallerRequest,
    place: &Place,
    course: &Course,
) -> Attempt {
    let Some(peer) = entry.peer_of(place.upstream()) else {
        return Attempt::Busy;
    };
    let remaining = course.give_up.since(entry.clock.now());
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
    let reply = with_timeout(&*entry.clock, timeout + ANSWER_GRACE, call).await;
    read_reply(entry, req, reply.unwrap_or(Err(LinkError::ReplyLost)))
}

fn read_reply(
    entry: &Entry,
    req: &CallerRequest,
    reply: Result<GuardReply, LinkError>,
) -> Attempt {
    match reply {
        Ok(GuardReply::Answer { id, status, body }) if id == req.id => {
            Attempt::Answered { status, body }
        }
        Ok(GuardReply::Answer { id, .. }) => {
            entry.metrics.crossed_answers.inc();
            tracing::error!(request = %req.id, answered = %id, "an answer to another request was dropped");
            Attempt::Lost
        }
        Ok(GuardReply::Refused(Refusal::Worker)) | Err(LinkError::NotSent) => Attempt::NotRun,
        Ok(GuardReply::Refused(_)) => Attempt::Busy,
        Ok(_) | Err(LinkError::ReplyLost) => Attempt::Lost,
    }
}
