//! Which entries and upstreams are known where, over a network that loses, doubles, delays and
//! cuts.

mod entries;
mod fleet;
mod network;
mod regions;
mod replacement;
mod upstreams;
