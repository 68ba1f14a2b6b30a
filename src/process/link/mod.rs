//! The link between regions: what crosses it is counted by purpose, and control is paced.

mod byte_budget;
mod counted_peer;
mod link_traffic;

pub use {
    byte_budget::ByteBudget,
    counted_peer::CountedPeer,
    link_traffic::{LinkPurpose, LinkTraffic},
};
