//! The state that all processes agree on, folded from the platform's log.

mod claim_fold;
mod document_fold;
mod fold;
mod job_fold;
mod job_state;
mod record;
mod record_cx;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod state;

pub use {
    claim_fold::{Claim, ClaimEnd, ClaimEntry, ClaimFold, ClaimRecord},
    document_fold::{AcceptedVersion, DocumentFold},
    fold::Fold,
    job_fold::JobFold,
    job_state::{JobEntry, JobStatus},
    record::{DocumentRecord, JobEnd, JobRecord, Record, RecordBody, RecordKey},
    record_cx::{RecordCx, RecordOutcome},
    state::{State, StateError},
};
