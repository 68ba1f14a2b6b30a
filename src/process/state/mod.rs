//! Replicated state of the entries, built by folding the records of the platform's log.

mod append_pacer;
mod audit_fold;
mod claim_fold;
mod document_fold;
mod drain_fold;
mod entry_registry;
mod fold;
mod job_fold;
mod job_state;
mod layout_fold;
mod log_view;
mod outbox;
mod placement_fold;
mod record;
mod record_cx;
mod snapshot_fold;
mod snapshot_record;
mod snapshot_writer;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod state;
mod state_error;
mod state_peers;
mod state_reader;
mod state_writer;
mod urgency;
mod writer_fold;

pub use {
    audit_fold::{AuditEntry, AuditFold},
    claim_fold::{Claim, ClaimEnd, ClaimFold, ClaimRecord, ClaimState},
    document_fold::{AcceptedVersion, DocumentFold},
    drain_fold::{ActiveDrain, DrainFold},
    entry_registry::{EntryRecord, EntryRegistry},
    fold::Fold,
    job_fold::JobFold,
    job_state::{JobState, JobStatus},
    layout_fold::{LayoutFold, LayoutRecord},
    log_view::{LogCondition, LogView},
    placement_fold::{JobPlacement, PlacementClaim, PlacementFold, PlacementRecord},
    record::{
        AuditRecord, DocumentRecord, DrainRecord, JobEnd, JobRecord, Record, RecordBody, RecordKey,
    },
    record_cx::{RecordCx, RecordOutcome},
    snapshot_fold::{SnapshotFold, SnapshotHeader},
    snapshot_record::SnapshotRecord,
    snapshot_writer::SnapshotPolicy,
    state::State,
    state_error::StateError,
    state_peers::{HttpPeers, NoPeers, StatePeers},
    urgency::Urgency,
    writer_fold::{WriterFold, WriterProgress},
};
