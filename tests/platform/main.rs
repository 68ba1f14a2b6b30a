//! Tests of step jobs on the platform: scheduling decisions, faults, message decoding, and the
//! whole path with simulated workers and store.

mod busy_worker;
mod cut_lists;
mod election;
mod election_model;
mod end_hints;
mod evacuation;
mod fake_store;
mod fuzz;
mod guarantees;
mod http_client;
mod idle_connections;
mod job_ids;
mod large_progress;
mod late_answers;
mod leases;
mod ledger;
mod malformed;
mod one_guard;
mod oracle;
mod orders;
mod path;
mod paused_leader;
mod pending;
mod refusals;
mod registration;
mod replaced_worker;
mod run_tracker;
mod scheduler;
mod sessions;
mod silent_connections;
mod silent_link;
mod store;
mod unread_records;
mod wire;
mod world;
