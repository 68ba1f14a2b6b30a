//! Jobs of steps on the platform: decisions, faults, decoding, and the whole path on stand-ins.

mod fuzz;
mod ledger;
mod oracle;
mod path;
mod run_tracker;
mod scheduler;
mod store;
mod wire;
mod world;
