//! Records that the entries append to the platform's log.

use {
    super::{ClaimRecord, EntryRecord, LayoutRecord, PlacementRecord, SnapshotRecord},
    crate::{prelude::*, request::JobSpec},
    derive_more::From,
    serde::{Deserialize, Serialize},
};

/// Unique identity of a record. A record that is in the log twice is folded once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordKey {
    /// Random number of the writer's process, new at each start.
    pub epoch: u64,
    /// The record's number within that process, counted from 1.
    pub sequence: u64,
}

/// One record of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The record's identity.
    pub key: RecordKey,
    /// The entry that wrote the record.
    pub writer: EntryName,
    /// Content of the record.
    pub body: RecordBody,
}

/// Content of a record.
#[derive(Clone, Debug, Deserialize, From, Serialize)]
pub enum RecordBody {
    /// An operator submitted a document.
    Document(DocumentRecord),
    /// A job changed.
    Job(JobRecord),
    /// The claim of an idempotency key was made or ended.
    Claim(ClaimRecord),
    /// An operator started or ended the drain of an upstream.
    Drain(DrainRecord),
    /// An operator made a change, kept for the audit history.
    Audit(AuditRecord),
    /// An entry registered.
    Entry(EntryRecord),
    /// One part of a snapshot, which keeps the state in the log when older records are dropped.
    Snapshot(SnapshotRecord),
    /// An entry proposed a layout of guarantees.
    Layout(LayoutRecord),
    /// The owner of jobs reported their placement.
    Placement(PlacementRecord),
}

/// The start or end of the drain of an upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DrainRecord {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether the upstream is drained from here on.
    #[serde(rename = "on")]
    pub is_drained: bool,
    /// The operator who made the change.
    pub operator: OperatorName,
}

/// A change made by an operator.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AuditRecord {
    /// The operator who made the change.
    pub operator: OperatorName,
    /// Description of the change, with the names of the affected items.
    pub action: Arc<str>,
    /// The document version that was in force at the entry that the operator used.
    pub from_version: VersionNumber,
}

/// A submitted document. It is accepted if it follows the version that is in force at its position
/// in the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DocumentRecord {
    /// The version that the document replaces.
    pub follows: VersionNumber,
    /// The document's text, which the writer has validated.
    pub text: Arc<str>,
    /// The operator who submitted the document.
    pub operator: OperatorName,
    /// When the document was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// A change of a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum JobRecord {
    /// The job was accepted.
    Accepted {
        /// The job.
        spec: JobSpec,
        /// The entry that runs it.
        owner: EntryName,
    },
    /// The account or an operator cancelled the job.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The job ended. The record takes effect only if it names the current ownership.
    Ended {
        /// The job.
        job: JobId,
        /// Number of the ownership under which the job ended.
        ownership: u32,
        /// How the job ended.
        end: JobEnd,
    },
    /// An entry took the job over, because its owner is lost or has restarted.
    #[serde(rename = "Owner")]
    OwnerChanged {
        /// The job.
        job: JobId,
        /// The entry that runs it from here on.
        owner: EntryName,
        /// Number of the ownership that this one replaces; the record is ignored if that is not the
        /// current one.
        follows: u32,
    },
}

/// How a job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobEnd {
    /// The job finished with a result.
    Finished(Bytes),
    /// The job failed with a reason.
    Failed(String),
    /// The job was cancelled.
    Cancelled,
}
