//! Requests: fuzzing of the whole path with fakes at its borders, and focused failures.

mod claims;
mod fakes;
mod fuzz;
mod http;
mod limits;
#[path = "../support/local_fixture.rs"]
mod local_fixture;
mod network;
mod oracle;
mod steps;
mod upstreams;
mod world;
