//! The routing policy's border.

use crate::{prelude::*, process::membership::Announcement, request::PassedOverUpstream};

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
    /// The time that the kind's requests take, in milliseconds.
    pub run_ms: f64,
    /// The wait of all queued requests that a slot in another region saves, in milliseconds.
    pub wait_saved_ms: f64,
    /// The upstreams that have refused or failed this request already.
    pub tried: Vec<UpstreamName>,
}

/// How an upstream is doing, compared with its peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It gets requests.
    Healthy,
    /// It gets none until its ejection has passed.
    Ejected,
    /// It gets one request to show whether it has recovered.
    Trial,
}

/// What this entry knows of an upstream's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// The slots in use: the announced ones and what this entry has changed since.
    pub in_use: u32,
    /// How many times longer than its peers it takes for a request of the same kind.
    pub slowness: f64,
    /// How it is doing.
    pub health: Health,
}

/// Tells the load of upstreams.
pub trait LoadSource {
    /// Returns the load of an upstream.
    fn load_of(
        &self,
        upstream: &Announcement,
    ) -> UpstreamLoad;
}

/// What a policy chose.
#[derive(Clone, Debug, Default)]
pub struct RoutingDecision {
    /// The chosen upstream; `None` when none can take the request now.
    pub chosen: Option<UpstreamName>,
    /// Upstreams that were looked at and passed over, and why; a bounded number.
    pub passed_over: Vec<PassedOverUpstream>,
}

/// Chooses an upstream for one request.
pub trait RoutingPolicy {
    /// Chooses among the live upstreams.
    fn choose(
        &self,
        ask: &RoutingAsk,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision;
}

/// The most upstreams that a decision names as passed over.
const MAX_PASSED_OVER: usize = 8;

impl RoutingDecision {
    /// Notes why an upstream was passed over.
    pub(super) fn pass_over(
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
