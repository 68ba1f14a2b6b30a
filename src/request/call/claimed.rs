//! Runs a request that is not idempotent under its caller's idempotency key. The key is claimed on
//! the log before the request is sent.

use {
    super::{CallerRequest, Fingerprint, KeyConflict, NotRun, Outcome, run::run_admitted},
    crate::{
        prelude::*,
        process::{
            entry::Entry,
            state::{
                Claim, ClaimEnd, ClaimRecord, ClaimState, RecordBody, RecordOutcome, StateError,
            },
        },
    },
};

/// Longest wait for a claim to be recorded on the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that is added to a request's deadline before the request, if no end is recorded, is
/// presumed lost. It has to exceed the difference between the clocks of entries.
const LOST_GRACE: Duration = Duration::from_secs(30);

/// Largest answer that is stored on the log, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 2 << 10;

/// A claim whose end is queued for the log when this is dropped, also if the caller disconnects.
struct OpenClaim<'a> {
    entry: &'a Entry,
    claim: Claim,
    /// End to record if the task stops now; `None` if the claim was not recorded.
    end: Option<ClaimEnd>,
}

impl Drop for OpenClaim<'_> {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            self.entry.claim_ends.push(self.claim.clone(), end);
        }
    }
}

/// Claims the request's key, runs the request if the claim is recorded, and records its end.
pub(super) async fn run_claimed(
    entry: &Rc<Entry>,
    req: &CallerRequest,
    key: &Arc<str>,
) -> Outcome {
    let claim = new_claim(entry, req, key);
    if let Some(recorded) = recorded_outcome(entry, &claim) {
        return recorded;
    }
    let mut open = OpenClaim {
        entry,
        claim,
        end: Some(ClaimEnd::NotRun),
    };
    if let Err(outcome) = append_claim(entry, &mut open).await {
        return outcome;
    }
    open.end = Some(ClaimEnd::Unknown);
    let outcome = run_admitted(entry, req).await;
    open.end = Some(end_of(&outcome));
    outcome
}

fn new_claim(
    entry: &Entry,
    req: &CallerRequest,
    key: &Arc<str>,
) -> Claim {
    let lost_after = req.deadline + CLAIM_TIMEOUT + LOST_GRACE;
    Claim {
        account: req.account.clone(),
        key: key.clone(),
        content: Fingerprint::of(&req.account, &req.kind.name, &req.body),
        request: req.id,
        presumed_lost_ms: entry.clock.wall_time().0 + Millis::from(lost_after).0,
    }
}

/// Returns the outcome that follows from the key's recorded claim; `None` if the key can be
/// claimed.
fn recorded_outcome(
    entry: &Entry,
    claim: &Claim,
) -> Option<Outcome> {
    let fold = entry.state.fold();
    let recorded = fold.claims().get(&claim.account, &claim.key)?;
    if recorded.claim.request == claim.request {
        return None;
    }
    outcome_of(recorded, claim, entry.clock.wall_time())
}

fn outcome_of(
    recorded: &ClaimState,
    claim: &Claim,
    now: Millis,
) -> Option<Outcome> {
    if recorded.claim.content != claim.content {
        return Some(Outcome::Conflict(KeyConflict::DifferentContent));
    }
    match &recorded.end {
        Some(ClaimEnd::NotRun) => None,
        Some(ClaimEnd::Answered { status, body }) => Some(match body {
            Some(body) => Outcome::Answered {
                status: *status,
                body: body.clone(),
            },
            None => Outcome::Conflict(KeyConflict::AnswerNotStored { status: *status }),
        }),
        Some(ClaimEnd::Unknown) => Some(Outcome::Unknown),
        None if now.0 > recorded.claim.presumed_lost_ms => Some(Outcome::Unknown),
        None => Some(Outcome::Conflict(KeyConflict::InProgress)),
    }
}

/// Appends the claim to the log.
///
/// # Errors
/// Returns the outcome of the request, which is then not sent.
async fn append_claim(
    entry: &Entry,
    open: &mut OpenClaim<'_>,
) -> Result<(), Outcome> {
    let record = RecordBody::Claim(ClaimRecord::Started(open.claim.clone()));
    let appending = entry.state.append_for_outcome_within(record, CLAIM_TIMEOUT);
    match appending.await {
        Ok(RecordOutcome::Applied) => return Ok(()),
        Ok(_) | Err(StateError::NotRecorded) => open.end = None,
        Err(StateError::Unknown) => {}
    }
    let recorded = recorded_outcome(entry, &open.claim);
    let not_run = Outcome::NotRun(NotRun::LogUnavailable);
    Err(recorded.unwrap_or(not_run))
}

fn end_of(outcome: &Outcome) -> ClaimEnd {
    match outcome {
        Outcome::Answered { status, body } => ClaimEnd::Answered {
            status: *status,
            body: (body.len() <= MAX_STORED_ANSWER_BYTES).then(|| body.clone()),
        },
        Outcome::NotRun(_) | Outcome::Conflict(_) => ClaimEnd::NotRun,
        Outcome::Unknown => ClaimEnd::Unknown,
    }
}
