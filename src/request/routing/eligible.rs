//! Determines which upstreams can take a request.

use {
    super::{Health, RoutingRequest, UpstreamLoad},
    crate::process::membership::{Announcement, ServingState},
};

/// Reason for an upstream whose slots are all in use. It is temporary: a slot is released as soon
/// as a request ends.
const NO_FREE_SLOT: &str = "no free slot";

/// Returns whether an upstream can take the request now or as soon as a slot is free.
pub(super) fn is_eligible_or_full(
    req: &RoutingRequest,
    upstream: &Announcement,
    load: &UpstreamLoad,
) -> bool {
    matches!(
        ineligible_reason(req, upstream, load),
        None | Some(NO_FREE_SLOT)
    )
}

/// Returns why an upstream cannot take the request now; `None` if it can.
pub(super) fn ineligible_reason(
    req: &RoutingRequest,
    upstream: &Announcement,
    load: &UpstreamLoad,
) -> Option<&'static str> {
    if upstream.serving != ServingState::Serving {
        return Some("draining");
    }
    if req.tried.contains(&upstream.upstream) {
        return Some("tried for this request");
    }
    match load.health {
        Health::Ejected => return Some("ejected"),
        Health::Trial if load.slots_in_use > 0 => return Some("on trial with another request"),
        Health::Healthy | Health::Trial => {}
    }
    (load.slots_in_use >= upstream.slots).then_some(NO_FREE_SLOT)
}
