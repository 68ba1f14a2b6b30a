//! Benchmarks of the request path.

mod added_latency;
mod killed;
mod overload;
mod policies;
mod requests_bench;
mod samples;
mod testbed;

pub use {
    requests_bench::RequestsBench,
    samples::Samples,
    testbed::{DataCentreSpec, RequestStream, Testbed},
};
