//! The choice of an upstream for one request.

mod least_wait;
mod policy;

pub use {
    least_wait::LeastWaitRouting,
    policy::{RoutingAsk, RoutingDecision, RoutingPolicy},
};
