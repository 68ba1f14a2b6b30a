//! Tests of requests: fuzzing of the whole path over fakes of its outer interfaces, and single
//! failures.

mod claims;
mod fakes;
mod fuzz;
mod http;
mod limits;
#[path = "../support/local_fixture.rs"]
mod local_fixture;
mod network;
mod outcome_checker;
mod steps;
mod test_cluster;
mod upstreams;
