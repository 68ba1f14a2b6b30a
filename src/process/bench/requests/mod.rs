//! Measurements of the request path.

mod added_latency;
mod bed;
mod killed;
mod overload;
mod policies;
mod requests_bench;
mod samples;

pub use {
    bed::{Bed, Site, Stream},
    requests_bench::RequestsBench,
    samples::Samples,
};
