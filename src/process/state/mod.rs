//! The state that all processes agree on, folded from the platform's log.

mod entry_registry;
mod fold;
mod job_state;
mod record;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod state;

pub use {
    entry_registry::{EntryRecord, EntryRegistry},
    fold::Fold,
    job_state::{JobEntry, JobStatus},
    record::{DocumentRecord, JobEnd, JobRecord, Record, RecordBody, RecordKey},
    state::{State, StateError},
};
