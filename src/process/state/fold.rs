//! Deterministic fold of the log: the same records in the same order give every reader the same
//! state.
//!
//! Each kind of record has a fold of its own in its own file. Such a fold is serialisable, uses no
//! time but that of the record, and is bounded in size. [`Fold`] combines them and dispatches each
//! record to the fold for its kind.

use {
    super::{
        AuditFold, ClaimFold, DocumentFold, DrainFold, EntryRegistry, JobFold, JobState,
        LayoutFold, PlacementFold, Record, RecordBody, RecordCx, RecordKey, RecordOutcome,
        SnapshotFold, WriterFold,
    },
    crate::{
        prelude::*,
        process::platform::{LogRecord, Offset},
    },
    serde::{Deserialize, Serialize},
};

/// The state after all records below an offset.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Fold {
    #[serde(rename = "next")]
    next_offset: Offset,
    writers: WriterFold,
    snapshots: SnapshotFold,
    documents: DocumentFold,
    jobs: JobFold,
    layouts: LayoutFold,
    placements: PlacementFold,
    claims: ClaimFold,
    drains: DrainFold,
    audit: AuditFold,
    entries: EntryRegistry,
}

impl Fold {
    /// Returns the offset of the next record to fold.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the version in force.
    pub fn version(&self) -> VersionNumber {
        self.documents.version()
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Rc<Document> {
        self.documents.document()
    }

    /// Returns the retained versions of the document.
    pub fn documents(&self) -> &DocumentFold {
        &self.documents
    }

    /// Returns the layout of guarantees.
    pub fn layouts(&self) -> &LayoutFold {
        &self.layouts
    }

    /// Returns the placements of jobs and the claims for waiting ones.
    pub fn placements(&self) -> &PlacementFold {
        &self.placements
    }

    /// Returns the drained upstreams.
    pub fn drains(&self) -> &DrainFold {
        &self.drains
    }

    /// Returns the audit history of changes by operators.
    pub fn audit(&self) -> &AuditFold {
        &self.audit
    }

    /// Returns the claims of idempotency keys.
    pub fn claims(&self) -> &ClaimFold {
        &self.claims
    }

    /// Returns the last record of each writer.
    pub fn writers(&self) -> &WriterFold {
        &self.writers
    }

    /// Returns which snapshots the log holds.
    pub fn snapshots(&self) -> &SnapshotFold {
        &self.snapshots
    }

    /// Returns whether this or a later record of the same writer has been folded.
    pub fn has_folded(
        &self,
        key: RecordKey,
    ) -> bool {
        self.writers.has_reached(key)
    }

    /// Returns a job, if it is retained.
    pub fn job(
        &self,
        id: JobId,
    ) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// Returns all retained jobs, ordered by identity.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.iter()
    }

    /// Returns the registered entries.
    pub fn entries(&self) -> &EntryRegistry {
        &self.entries
    }

    /// Returns whether a job was cancelled.
    pub fn is_cancelled(
        &self,
        id: JobId,
    ) -> bool {
        self.job(id).is_some_and(|j| j.cancelled)
    }

    /// Returns the number of an account's jobs that have not ended.
    pub fn open_job_count(
        &self,
        account: &AccountName,
    ) -> u32 {
        let open = |j: &&JobState| j.end.is_none() && j.spec.account == *account;
        self.jobs().filter(open).count() as u32
    }

    /// Returns the version as which a document record was accepted, if it is retained.
    pub fn accepted_version(
        &self,
        key: RecordKey,
    ) -> Option<VersionNumber> {
        let mut history = self.documents.history();
        history.find(|v| v.key == key).map(|v| v.version)
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn to_bytes(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a state.
    ///
    /// # Errors
    /// Returns the decoder's error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let mut fold: Self = postcard::from_bytes(bytes)?;
        fold.documents.parse_document();
        Ok(fold)
    }

    /// Folds one record and returns its outcome, or `None` if it is malformed, was folded before or
    /// is older than the last record of its writer.
    pub fn apply(
        &mut self,
        log_record: &LogRecord,
    ) -> Option<(RecordKey, RecordOutcome)> {
        if log_record.offset < self.next_offset {
            return None;
        }
        self.next_offset = Offset(log_record.offset.0 + 1);
        let Ok(record) = postcard::from_bytes::<Record>(&log_record.data) else {
            tracing::warn!(offset = %log_record.offset, "ignoring a malformed record");
            return None;
        };
        let cx = RecordCx {
            key: record.key,
            writer: record.writer,
            offset: log_record.offset,
            appended_ms: log_record.appended_ms,
        };
        self.snapshots.record_first_append(&cx);
        if !self.writers.apply(&cx) {
            return None;
        }
        Some((cx.key, self.apply_body(&cx, record.body)))
    }

    /// Dispatches a record to the fold for its kind.
    fn apply_body(
        &mut self,
        cx: &RecordCx,
        body: RecordBody,
    ) -> RecordOutcome {
        match body {
            RecordBody::Document(document) => self.documents.apply(cx, document),
            RecordBody::Job(job) => {
                self.placements.apply_job(&job);
                self.jobs.apply(cx, job)
            }
            RecordBody::Layout(layout) => self.layouts.apply(cx, layout),
            RecordBody::Placement(placement) => self.placements.apply(cx, placement),
            RecordBody::Claim(claim) => self.claims.apply(cx, claim),
            RecordBody::Drain(drain) => self.drains.apply(cx, drain),
            RecordBody::Audit(audit) => self.audit.apply(cx, audit),
            RecordBody::Entry(entry) => self.entries.apply(cx, entry),
            RecordBody::Snapshot(part) => self.snapshots.apply(cx, &part),
        }
    }
}
