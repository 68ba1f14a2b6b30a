//! Tests that entries and upstreams become known everywhere, over a network that loses, duplicates
//! and delays datagrams and is partitioned.

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
