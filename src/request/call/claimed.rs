//! Runs a non-idempotent request under its caller's idempotency key, which is claimed on the log
//! before the request is sent.

use {
    super::{CallerRequest, Fingerprint, KeyConflict, NotRun, Outcome, run::run_admitted},
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            entry::Entry,
            state::{Claim, ClaimEnd, ClaimEntry, ClaimRecord, RecordBody, StateError},
        },
    },
};

/// The longest wait for a claim to stand on the log.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

/// How long after its deadline a request without an end counts as lost; more than clocks of
/// entries differ.
const LOST_AFTER: Duration = Duration::from_secs(30);

/// The largest answer that is kept on the log, in bytes.
const MAX_KEPT_ANSWER: usize = 2 << 10;

/// Ends a claim on the log when the request's task ends, also when the caller goes away.
struct OpenClaim<'a> {
    entry: &'a Entry,
    claim: Claim,
    end: ClaimEnd,
}

impl Drop for OpenClaim<'_> {
    fn drop(&mut self) {
        self.entry
            .claim_ends
            .push(self.claim.clone(), self.end.clone());
    }
}

/// Claims the request's key, runs the request when the claim stands, and records its end.
pub(super) async fn run_claimed(
    entry: &Rc<Entry>,
    req: &CallerRequest,
    key: &Arc<str>,
) -> Outcome {
    let claim = claim_of(entry, req, key);
    if let Some(known) = known_outcome(entry, &claim) {
        return known;
    }
    if let Err(outcome) = take_claim(entry, &claim).await {
        return outcome;
    }
    let mut open = OpenClaim {
        entry,
        claim,
        end: ClaimEnd::Unknown,
    };
    let outcome = run_admitted(entry, req).await;
    open.end = end_of(&outcome);
    outcome
}

fn claim_of(
    entry: &Entry,
    req: &CallerRequest,
    key: &Arc<str>,
) -> Claim {
    let lost = req.deadline + CLAIM_WAIT + LOST_AFTER;
    Claim {
        account: req.account.clone(),
        key: key.clone(),
        content: Fingerprint::of(&req.account, &req.kind.name, &req.body),
        request: req.id,
        lost_ms: entry.clock.wall().0 + Millis::from(lost).0,
    }
}

/// Returns the outcome that the log already tells for this key; `None` when it may be claimed.
fn known_outcome(
    entry: &Entry,
    claim: &Claim,
) -> Option<Outcome> {
    let fold = entry.state.fold();
    let known = fold.claims().get(&claim.account, &claim.key)?;
    outcome_of(known, claim, entry.clock.wall())
}

fn outcome_of(
    known: &ClaimEntry,
    claim: &Claim,
    now: Millis,
) -> Option<Outcome> {
    if known.claim.content != claim.content {
        return Some(Outcome::Conflict(KeyConflict::OtherBody));
    }
    match &known.end {
        Some(ClaimEnd::NotRun) => None,
        Some(ClaimEnd::Answered { status, body }) => Some(match body {
            Some(body) => Outcome::Answered {
                status: *status,
                body: body.clone(),
            },
            None => Outcome::Conflict(KeyConflict::AnswerNotKept { status: *status }),
        }),
        Some(ClaimEnd::Unknown) => Some(Outcome::Unknown),
        None if now.0 > known.claim.lost_ms => Some(Outcome::Unknown),
        None => Some(Outcome::Conflict(KeyConflict::InProgress)),
    }
}

/// Puts the claim on the log; an error is the outcome of a request that is not sent.
async fn take_claim(
    entry: &Entry,
    claim: &Claim,
) -> Result<(), Outcome> {
    let record = RecordBody::Claim(ClaimRecord::Started(claim.clone()));
    let appending = entry.state.append(record);
    match with_timeout(&*entry.clock, CLAIM_WAIT, appending).await {
        Some(Ok(())) => check_claim(entry, claim),
        Some(Err(StateError::NotRecorded)) => Err(Outcome::NotRun(NotRun::LogUnavailable)),
        Some(Err(_)) | None => {
            entry.claim_ends.push(claim.clone(), ClaimEnd::NotRun);
            Err(Outcome::NotRun(NotRun::LogUnavailable))
        }
    }
}

/// Checks that this claim, and not an earlier one, holds the key.
fn check_claim(
    entry: &Entry,
    claim: &Claim,
) -> Result<(), Outcome> {
    let holder = entry.state.fold().claims().holder(claim);
    if holder == Some(claim.request) {
        return Ok(());
    }
    let known = known_outcome(entry, claim);
    Err(known.unwrap_or(Outcome::NotRun(NotRun::LogUnavailable)))
}

fn end_of(outcome: &Outcome) -> ClaimEnd {
    match outcome {
        Outcome::Answered { status, body } => ClaimEnd::Answered {
            status: *status,
            body: (body.len() <= MAX_KEPT_ANSWER).then(|| body.clone()),
        },
        Outcome::NotRun(_) | Outcome::Conflict(_) => ClaimEnd::NotRun,
        Outcome::Unknown => ClaimEnd::Unknown,
    }
}
