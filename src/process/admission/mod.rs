//! Decides which requests an entry sends, when and to which upstream: queue, limits, upstream loads
//! and retry budgets.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod admission;
mod dispatch;
mod fair_queue;
mod in_flight_counts;
mod load_table;
mod outlier_detector;
mod own_slots;
mod poison_detector;
mod run_times;
mod send_permit;
mod token_bucket;

pub use {
    admission::{Admission, IncomingRequest},
    dispatch::{QueuedRequest, run_dispatch},
    fair_queue::FairQueue,
    in_flight_counts::InFlightCounts,
    load_table::LoadTable,
    outlier_detector::OutlierDetector,
    own_slots::OwnSlots,
    poison_detector::PoisonDetector,
    run_times::RunTimes,
    send_permit::SendPermit,
    token_bucket::TokenBucket,
};
