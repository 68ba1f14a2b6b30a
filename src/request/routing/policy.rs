//! The routing policy's border.

use crate::{prelude::*, process::membership::Announcement, request::PassedOver};

/// What a policy is told of the request.
#[derive(Clone, Debug)]
pub struct RoutingAsk {
    /// The region of the entry.
    pub region: Region,
    /// The data centre of the entry.
    pub data_centre: DataCentre,
    /// The size of the request's body, in bytes.
    pub body_bytes: usize,
    /// The wait that sending 1 KiB to another region has to save, in milliseconds.
    pub link_price_ms_per_kib: f64,
    /// The upstreams that have refused this request already.
    pub tried: Vec<UpstreamName>,
}

/// What a policy chose.
#[derive(Clone, Debug, Default)]
pub struct RoutingDecision {
    /// The chosen upstream; `None` when none can take the request now.
    pub chosen: Option<UpstreamName>,
    /// The upstreams that were passed over, and why.
    pub passed_over: Vec<PassedOver>,
}

/// Chooses an upstream for one request.
pub trait RoutingPolicy {
    /// Chooses among the live upstreams.
    fn choose(
        &self,
        ask: &RoutingAsk,
        upstreams: &[Rc<Announcement>],
    ) -> RoutingDecision;
}
