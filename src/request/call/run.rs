//! Runs one request: chooses an upstream, sends it, and tries another one as long as it was
//! refused.

use {
    super::{NotRun, Outcome},
    crate::{
        connection::{GuardReply, GuardRequest, LinkError, RunGrant},
        prelude::*,
        process::entry::Entry,
        request::{RoutingAsk, RoutingDecision},
        version::RequestKind,
    },
};

/// The pause before another try when every upstream is busy.
const BUSY_RETRY: Duration = Duration::from_millis(20);

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
}

/// What one try at one upstream brought.
enum Attempt {
    Final(Outcome),
    NotRun,
}

/// Runs a request to its outcome.
pub async fn run_request(
    entry: &Entry,
    req: &CallerRequest,
) -> Outcome {
    let Some(_in_flight) = entry.in_flight.enter(&req.account, entry.document()) else {
        return Outcome::NotRun(NotRun::AccountLimit);
    };
    let give_up = entry.clock.now() + Millis::from(req.deadline);
    let mut tried = Vec::new();
    while entry.clock.now() < give_up {
        let decision = choose_upstream(entry, req, &tried);
        let Some(upstream) = decision.chosen else {
            entry.clock.sleep(BUSY_RETRY).await;
            tried.clear();
            continue;
        };
        let remaining = give_up.since(entry.clock.now());
        match try_upstream(entry, req, &upstream, remaining).await {
            Attempt::Final(outcome) => return outcome,
            Attempt::NotRun => tried.push(upstream),
        }
    }
    Outcome::NotRun(NotRun::NoUpstream)
}

/// Has the routing policy choose, and logs its decision.
fn choose_upstream(
    entry: &Entry,
    req: &CallerRequest,
    tried: &[UpstreamName],
) -> RoutingDecision {
    let ask = RoutingAsk {
        region: entry.settings.region.clone(),
        data_centre: entry.settings.data_centre.clone(),
        body_bytes: req.body.len(),
        link_price_ms_per_kib: entry.document().link_price_ms_per_kib,
        tried: tried.to_vec(),
    };
    let upstreams = entry.members.borrow().live(entry.clock.now());
    let decision = entry.routing.choose(&ask, &upstreams);
    tracing::info!(
        target: "decision",
        decision = "routing",
        request = %req.id,
        account = %req.account,
        kind = %req.kind.name,
        chosen = decision.chosen.as_ref().map(UpstreamName::as_str),
        passed_over = %serde_json::to_string(&decision.passed_over).unwrap_or_default(),
    );
    decision
}

/// Sends the request to one upstream.
async fn try_upstream(
    entry: &Entry,
    req: &CallerRequest,
    upstream: &UpstreamName,
    remaining: Duration,
) -> Attempt {
    let Some(peer) = entry.peer_of(upstream) else {
        return Attempt::NotRun;
    };
    let timeout = req.kind.timeout.min(remaining);
    let grant = RunGrant {
        id: req.id,
        account: req.account.clone(),
        kind: req.kind.name.clone(),
        body: req.body.clone(),
        timeout_ms: Millis::from(timeout).0,
    };
    match peer.call(GuardRequest::Run(grant)).await {
        Ok(GuardReply::Answer { id, status, body }) if id == req.id => {
            Attempt::Final(Outcome::Answered { status, body })
        }
        Ok(GuardReply::Refused(_)) | Err(LinkError::NotSent) => Attempt::NotRun,
        Ok(_) | Err(LinkError::ReplyLost) if req.kind.idempotent => Attempt::NotRun,
        Ok(_) | Err(LinkError::ReplyLost) => Attempt::Final(Outcome::Unknown),
    }
}
