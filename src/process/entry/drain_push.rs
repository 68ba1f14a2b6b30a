//! Repeats drain orders to guards that serve although operators drained their upstream.

use {
    super::Entry,
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
        process::membership::ServingState,
    },
};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Sends a drain order to each guard that announces itself as serving although operators have
/// drained its upstream; never returns. A restarted guard receives the order again in this way.
pub async fn push_drains(entry: Rc<Entry>) {
    loop {
        entry.clock.sleep(CHECK_INTERVAL).await;
        let drained: Vec<UpstreamName> = entry.state.fold().drains().upstreams().cloned().collect();
        for upstream in drained {
            if is_serving(&entry, &upstream) {
                send_drain(&entry, &upstream, true).await;
            }
        }
    }
}

/// Orders an upstream's guard to drain if `is_draining`, or else to serve again. Returns `false`
/// when the upstream is not known or its guard did not confirm.
pub async fn send_drain(
    entry: &Entry,
    upstream: &UpstreamName,
    is_draining: bool,
) -> bool {
    let Some(peer) = entry.peer_of(upstream) else {
        return false;
    };
    let reply = peer.call(GuardRequest::Drain { is_draining }).await;
    matches!(reply, Ok(GuardReply::Done))
}

fn is_serving(
    entry: &Entry,
    upstream: &UpstreamName,
) -> bool {
    let member = entry.members.borrow().get(upstream);
    member.is_some_and(|m| m.serving == ServingState::Serving)
}
