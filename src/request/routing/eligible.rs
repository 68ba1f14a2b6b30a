//! Which upstreams can take a request at all.

use {
    super::{Health, RoutingRequest, UpstreamLoad},
    crate::process::membership::{Announcement, ServingState},
};

/// The reason that passes by itself.
const NO_FREE_SLOT: &str = "no free slot";

/// Tells whether an upstream takes the request as soon as a slot is free.
pub(super) fn is_eligible_or_full(
    ask: &RoutingRequest,
    upstream: &Announcement,
    load: &UpstreamLoad,
) -> bool {
    matches!(
        ineligible_reason(ask, upstream, load),
        None | Some(NO_FREE_SLOT)
    )
}

/// Tells why an upstream cannot take the request now; `None` when it can.
pub(super) fn ineligible_reason(
    ask: &RoutingRequest,
    upstream: &Announcement,
    load: &UpstreamLoad,
) -> Option<&'static str> {
    if upstream.serving != ServingState::Serving {
        return Some("draining");
    }
    if ask.tried.contains(&upstream.upstream) {
        return Some("tried for this request");
    }
    match load.health {
        Health::Ejected => return Some("ejected"),
        Health::Trial if load.slots_in_use > 0 => return Some("on trial with another request"),
        Health::Healthy | Health::Trial => {}
    }
    (load.slots_in_use >= upstream.slots).then_some(NO_FREE_SLOT)
}
