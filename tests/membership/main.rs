//! Which entries and upstreams are known where, over a network that loses, doubles, delays and
//! cuts.

mod entries;
mod fleet;
mod fuzz;
mod network;
mod op;
mod oracle;
mod regions;
mod regressions;
mod replacement;
mod scenario;
mod upstreams;
mod watchers;
