//! Chooses an upstream for a request.

mod baselines;
mod eligible;
mod least_wait;
mod policy;

pub use {
    baselines::{LeastConnectionsRouting, RandomRouting, RoundRobinRouting},
    least_wait::LeastWaitRouting,
    policy::{Health, LoadSource, RoutingDecision, RoutingPolicy, RoutingRequest, UpstreamLoad},
};
