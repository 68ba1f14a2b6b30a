//! Keeps drained upstreams drained.

use {
    super::Entry,
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
        process::membership::ServingState,
    },
};

/// How often drained upstreams are looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Drains each upstream that operators have drained and whose guard does not know, for ever. A
/// guard that has started anew learns it in this way.
pub async fn push_drains(entry: Rc<Entry>) {
    loop {
        entry.clock.sleep(LOOK_INTERVAL).await;
        let drained: Vec<UpstreamName> = entry.state.fold().drains().upstreams().cloned().collect();
        for upstream in drained {
            if is_serving(&entry, &upstream) {
                tell_drain(&entry, &upstream, true).await;
            }
        }
    }
}

/// Tells an upstream's guard to drain or to serve again; `false` when the guard did not answer.
pub async fn tell_drain(
    entry: &Entry,
    upstream: &UpstreamName,
    on: bool,
) -> bool {
    let Some(peer) = entry.peer_of(upstream) else {
        return false;
    };
    let reply = peer.call(GuardRequest::Drain { is_draining: on }).await;
    matches!(reply, Ok(GuardReply::Done))
}

fn is_serving(
    entry: &Entry,
    upstream: &UpstreamName,
) -> bool {
    let member = entry.members.borrow().get(upstream);
    member.is_some_and(|m| m.serving == ServingState::Serving)
}
