//! Which entries and upstreams are known where, over a network that loses, doubles, delays and
//! cuts.

mod course;
mod entries;
mod fleet;
mod found;
mod fuzz;
mod network;
mod regions;
mod replacement;
mod upstreams;
mod watchers;
