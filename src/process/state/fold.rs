//! The fold of the log: the same records in the same order give every reader the same state.
//!
//! Each matter has a fold of its own in a file of its own, which serialises, looks at no time but
//! that of the record, and keeps a bounded amount. [`Fold`] finds the matter of a record and holds
//! the matters together.

use {
    super::{
        ClaimFold, DocumentFold, JobEntry, JobFold, Record, RecordBody, RecordCx, RecordKey,
        RecordOutcome,
    },
    crate::{
        prelude::*,
        process::platform::{LogRecord, Offset},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// The state that the log tells up to an offset.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Fold {
    next: Offset,
    seen: BTreeSet<RecordKey>,
    documents: DocumentFold,
    jobs: JobFold,
    claims: ClaimFold,
}

impl Fold {
    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the version in force.
    pub fn version(&self) -> VersionNumber {
        self.documents.version()
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Rc<Document> {
        self.documents.document()
    }

    /// Returns the documents.
    pub fn documents(&self) -> &DocumentFold {
        &self.documents
    }

    /// Tells whether a record has been folded.
    pub fn has_seen(
        &self,
        key: RecordKey,
    ) -> bool {
        self.seen.contains(&key)
    }

    /// Returns the claims of idempotency keys.
    pub fn claims(&self) -> &ClaimFold {
        &self.claims
    }

    /// Returns a job.
    pub fn job(
        &self,
        id: JobId,
    ) -> Option<&JobEntry> {
        self.jobs.get(id)
    }

    /// Returns all jobs, by identity.
    pub fn jobs(&self) -> impl Iterator<Item = &JobEntry> {
        self.jobs.iter()
    }

    /// Tells whether a job was cancelled.
    pub fn is_cancelled(
        &self,
        id: JobId,
    ) -> bool {
        self.job(id).is_some_and(|j| j.cancelled)
    }

    /// Returns the number of an account's jobs that have not ended.
    pub fn unfinished_jobs(
        &self,
        account: &AccountName,
    ) -> u32 {
        let open = |j: &&JobEntry| j.end.is_none() && j.spec.account == *account;
        self.jobs().filter(open).count() as u32
    }

    /// Returns the version that a document record was accepted as.
    pub fn accepted_as(
        &self,
        key: RecordKey,
    ) -> Option<VersionNumber> {
        let mut history = self.documents.history();
        history.find(|v| v.key == key).map(|v| v.version)
    }

    /// Folds one record. A record that is not well formed, or was folded before, changes nothing.
    pub fn apply(
        &mut self,
        log_record: &LogRecord,
    ) {
        if log_record.offset < self.next {
            return;
        }
        self.next = Offset(log_record.offset.0 + 1);
        let Ok(record) = postcard::from_bytes::<Record>(&log_record.data) else {
            tracing::warn!(offset = %log_record.offset, "a malformed record was passed over");
            return;
        };
        if !self.seen.insert(record.key) {
            return;
        }
        let cx = RecordCx {
            key: record.key,
            writer: record.writer,
            offset: log_record.offset,
            appended_ms: log_record.appended_ms,
        };
        self.apply_body(&cx, record.body);
    }

    /// Passes a record on to the fold of its matter.
    fn apply_body(
        &mut self,
        cx: &RecordCx,
        body: RecordBody,
    ) -> RecordOutcome {
        match body {
            RecordBody::Document(document) => self.documents.apply(cx, document),
            RecordBody::Job(job) => self.jobs.apply(cx, job),
            RecordBody::Claim(claim) => self.claims.apply(cx, claim),
        }
    }
}
