//! Which requests an entry sends, when and where to: queue, limits, loads and retry budgets.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod admission;
mod dispatch;
mod fair_queue;
mod in_flight;
mod kind_times;
mod load_table;
mod own_slots;
mod place;
mod standing;
mod suspects;
mod token_bucket;

pub use {
    admission::{Admission, Arrival},
    dispatch::{Waiting, run_dispatch},
    fair_queue::FairQueue,
    in_flight::InFlightCounts,
    kind_times::KindTimes,
    load_table::LoadTable,
    own_slots::OwnSlots,
    place::Place,
    standing::Standing,
    suspects::Suspects,
    token_bucket::TokenBucket,
};
