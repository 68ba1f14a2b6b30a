//! The interface of routing policies.

use crate::{prelude::*, process::membership::Announcement, request::PassedOverUpstream};

/// A request to be routed.
#[derive(Clone, Debug)]
pub struct RoutingRequest {
    /// Region of the entry.
    pub region: Region,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Size of the request's body, in bytes.
    pub body_bytes: usize,
    /// Wait that sending 1 KiB to another region has to save, in milliseconds.
    pub link_price_ms_per_kib: f64,
    /// Expected run time of the request's kind, in milliseconds.
    pub run_ms: f64,
    /// Wait that a slot in another region saves over all queued requests, in milliseconds.
    pub wait_saved_ms: f64,
    /// Upstreams on which an earlier attempt of this request failed.
    pub tried: Vec<UpstreamName>,
}

/// Health of an upstream, compared with its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It receives requests.
    Healthy,
    /// It receives no requests until its ejection ends.
    Ejected,
    /// Its ejection has ended, and it receives one request at a time until one shows whether it has
    /// recovered.
    Trial,
}

/// Load and health of an upstream, as seen by the entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Slots in use, by this entry and by others; all of them while the upstream counts as full.
    pub slots_in_use: u32,
    /// How many times longer than its peers it takes for a request of the same kind; 1 for small
    /// differences.
    pub slowness: f64,
    /// Health, which decides whether it receives requests.
    pub health: Health,
}

/// Supplies the load of upstreams.
pub trait LoadSource {
    /// Returns the load of an upstream.
    fn load_of(
        &self,
        upstream: &Announcement,
    ) -> UpstreamLoad;
}

/// The choice of a policy.
#[derive(Clone, Debug, Default)]
pub struct RoutingDecision {
    /// The chosen upstream; `None` if the request has to wait.
    pub chosen: Option<UpstreamName>,
    /// Upstreams that were passed over, with the reasons; a bounded number.
    pub passed_over: Vec<PassedOverUpstream>,
}

/// Chooses an upstream for one request.
pub trait RoutingPolicy {
    /// Chooses among the live upstreams.
    fn choose(
        &self,
        req: &RoutingRequest,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision;
}

/// Largest number of upstreams that a decision lists as passed over.
const MAX_PASSED_OVER: usize = 8;

impl RoutingDecision {
    /// Records why an upstream was passed over.
    pub(super) fn record_passed_over(
        &mut self,
        upstream: &UpstreamName,
        reason: &'static str,
    ) {
        if self.passed_over.len() < MAX_PASSED_OVER {
            self.passed_over.push(PassedOverUpstream {
                upstream: upstream.clone(),
                reason,
            });
        }
    }
}
