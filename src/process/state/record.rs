//! What the system writes to the platform's log.

use {
    super::{ClaimRecord, EntryRecord, LayoutRecord, PlacementRecord, SnapshotRecord},
    crate::{prelude::*, request::JobSpec},
    derive_more::From,
    serde::{Deserialize, Serialize},
};

/// The identity of a record; a record that stands on the log twice is folded once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RecordKey {
    /// The random epoch of the writer's start.
    pub epoch: u64,
    /// The record's number within that start.
    pub sequence: u64,
}

/// One record.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// The record's identity.
    pub key: RecordKey,
    /// The entry that wrote it.
    pub writer: EntryName,
    /// What it says.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, Deserialize, From, Serialize)]
pub enum RecordBody {
    /// A team submitted a document.
    Document(DocumentRecord),
    /// Something happened to a job.
    Job(JobRecord),
    /// Something happened to a request with an idempotency key.
    Claim(ClaimRecord),
    /// An operator drains an upstream or ends that.
    Drain(DrainRecord),
    /// An operator changed something.
    Audit(AuditRecord),
    /// An entry registered.
    Entry(EntryRecord),
    /// A part of the whole state, written again so that the log keeps it.
    Snapshot(SnapshotRecord),
    /// An entry proposes a layout of guarantees.
    Layout(LayoutRecord),
    /// The owner of jobs tells of their places.
    Placement(PlacementRecord),
}

/// The start or end of the drain of an upstream.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DrainRecord {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Whether it drains.
    #[serde(rename = "on")]
    pub is_drained: bool,
    /// Who asked for it.
    pub operator: OperatorName,
}

/// What an operator did.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AuditRecord {
    /// Who did it.
    pub operator: OperatorName,
    /// What was done, with the names of what it was done to.
    pub action: Arc<str>,
    /// The document version that the operator's entry had in force.
    pub from_version: VersionNumber,
}

/// A submitted document. It is accepted when it follows the version in force where it stands.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DocumentRecord {
    /// The version that it follows.
    pub follows: VersionNumber,
    /// The document's text, which was checked before it was written.
    pub text: Arc<str>,
    /// Who submitted it.
    pub operator: OperatorName,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
}

/// Something that happened to a job.
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
    /// The job ended; only its present owner can record that.
    Ended {
        /// The job.
        job: JobId,
        /// The ownership under which it ended.
        ownership: u32,
        /// How it ended.
        end: JobEnd,
    },
    /// An entry takes the job over from an owner that is gone.
    Owner {
        /// The job.
        job: JobId,
        /// The entry that runs it from here on.
        owner: EntryName,
        /// The ownership that this one follows; a record that follows another is passed over.
        follows: u32,
    },
}

/// How a job ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobEnd {
    /// It finished with a result.
    Finished(Bytes),
    /// It failed with a reason.
    Failed(String),
    /// It was cancelled.
    Cancelled,
}
