//! The link between regions: traffic across it is counted by purpose, and control traffic can be
//! rate limited.

mod byte_budget;
mod counted_peer;
mod link_traffic;

pub use {
    byte_budget::ByteBudget,
    counted_peer::CountedPeer,
    link_traffic::{LinkPurpose, LinkTraffic},
};
