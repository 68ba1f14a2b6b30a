//! The routing policy of least expected wait.

use {
    super::{RoutingAsk, RoutingDecision, RoutingPolicy},
    crate::{
        prelude::*,
        process::membership::{Announcement, ServingState},
        request::PassedOver,
    },
};

/// The wait that a request is expected to have at an upstream without a free slot, for each
/// request that it runs, in milliseconds.
const BUSY_WAIT_MS: f64 = 50.0;

/// The added time of leaving the data centre, in milliseconds.
const DATA_CENTRE_MS: f64 = 2.0;

/// The added time of leaving the region, both ways, in milliseconds.
const REGION_MS: f64 = 40.0;

/// Chooses the upstream with the least expected wait: free slots first, the own data centre
/// before the own region, and another region only when the wait saved is worth its bytes.
#[derive(Debug, Default)]
pub struct LeastWaitRouting;

impl RoutingPolicy for LeastWaitRouting {
    fn choose(
        &self,
        ask: &RoutingAsk,
        upstreams: &[Rc<Announcement>],
    ) -> RoutingDecision {
        let mut decision = RoutingDecision::default();
        let mut best: Option<(f64, &UpstreamName)> = None;
        for upstream in upstreams {
            if let Some(reason) = reason_against(ask, upstream) {
                decision.pass_over(&upstream.upstream, reason);
                continue;
            }
            let cost = expected_cost_ms(ask, upstream);
            match best {
                Some((least, _)) if least <= cost => {
                    decision.pass_over(&upstream.upstream, "longer expected wait");
                }
                _ => {
                    if let Some((_, previous)) = best.replace((cost, &upstream.upstream)) {
                        decision.pass_over(previous, "longer expected wait");
                    }
                }
            }
        }
        decision.chosen = best.map(|(_, upstream)| upstream.clone());
        decision
    }
}

impl RoutingDecision {
    fn pass_over(
        &mut self,
        upstream: &UpstreamName,
        reason: &'static str,
    ) {
        self.passed_over.push(PassedOver {
            upstream: upstream.clone(),
            reason,
        });
    }
}

/// Tells why an upstream cannot take the request at all.
fn reason_against(
    ask: &RoutingAsk,
    upstream: &Announcement,
) -> Option<&'static str> {
    if upstream.serving != ServingState::Serving {
        return Some("draining");
    }
    if ask.tried.contains(&upstream.upstream) {
        return Some("refused this request");
    }
    if upstream.slots_in_use >= upstream.slots {
        return Some("no free slot");
    }
    None
}

/// Returns the expected wait and the price of the way, in milliseconds.
fn expected_cost_ms(
    ask: &RoutingAsk,
    upstream: &Announcement,
) -> f64 {
    let busy = f64::from(upstream.slots_in_use) / f64::from(upstream.slots.max(1));
    let wait = busy * BUSY_WAIT_MS;
    if upstream.region != ask.region {
        let kib = ask.body_bytes as f64 / 1024.0;
        return wait + REGION_MS + kib * ask.link_price_ms_per_kib;
    }
    if upstream.data_centre != ask.data_centre {
        return wait + DATA_CENTRE_MS;
    }
    wait
}
