//! The fold of the log: the same records in the same order give every reader the same state.

use {
    super::{DocumentRecord, EntryRegistry, JobEntry, JobRecord, Record, RecordBody, RecordKey},
    crate::{
        prelude::*,
        process::platform::{LogRecord, Offset},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The state that the log tells up to an offset.
#[derive(Debug, Default)]
pub struct Fold {
    next: Offset,
    version: VersionNumber,
    document: Rc<Document>,
    accepted_keys: BTreeMap<RecordKey, VersionNumber>,
    seen: BTreeSet<RecordKey>,
    jobs: BTreeMap<JobId, JobEntry>,
    entries: EntryRegistry,
}

impl Fold {
    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the version in force.
    pub fn version(&self) -> VersionNumber {
        self.version
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Rc<Document> {
        &self.document
    }

    /// Returns the version that a document record was accepted as.
    pub fn accepted_as(
        &self,
        key: RecordKey,
    ) -> Option<VersionNumber> {
        self.accepted_keys.get(&key).copied()
    }

    /// Tells whether a record has been folded.
    pub fn has_seen(
        &self,
        key: RecordKey,
    ) -> bool {
        self.seen.contains(&key)
    }

    /// Returns a job.
    pub fn job(
        &self,
        id: JobId,
    ) -> Option<&JobEntry> {
        self.jobs.get(&id)
    }

    /// Returns all jobs, by identity.
    pub fn jobs(&self) -> impl Iterator<Item = &JobEntry> {
        self.jobs.values()
    }

    /// Returns the registered entries.
    pub fn entries(&self) -> &EntryRegistry {
        &self.entries
    }

    /// Tells whether a job was cancelled.
    pub fn is_cancelled(
        &self,
        id: JobId,
    ) -> bool {
        self.jobs.get(&id).is_some_and(|j| j.cancelled)
    }

    /// Returns the number of an account's jobs that have not ended.
    pub fn unfinished_jobs(
        &self,
        account: &AccountName,
    ) -> u32 {
        let open = |j: &&JobEntry| j.end.is_none() && j.spec.account == *account;
        self.jobs.values().filter(open).count() as u32
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
        match record.body {
            RecordBody::Document(document) => self.apply_document(record.key, document),
            RecordBody::Job(job) => self.apply_job(job),
            RecordBody::Entry(entry) => self.entries.apply(entry, log_record.appended_ms),
        }
    }

    fn apply_document(
        &mut self,
        key: RecordKey,
        record: DocumentRecord,
    ) {
        if record.follows != self.version {
            return;
        }
        let Ok(document) = Document::parse("document", &record.text) else {
            return;
        };
        self.version = self.version.next();
        self.document = Rc::new(document);
        self.accepted_keys.insert(key, self.version);
    }

    fn apply_job(
        &mut self,
        record: JobRecord,
    ) {
        match record {
            JobRecord::Accepted { spec, owner } => {
                let job = JobEntry {
                    spec: Rc::new(spec),
                    owner,
                    ownership: 1,
                    cancelled: false,
                    end: None,
                };
                self.jobs.entry(job.spec.id).or_insert(job);
            }
            JobRecord::Cancelled { job } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.cancelled |= job.end.is_none();
                }
            }
            JobRecord::Ended { job, end } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.end.get_or_insert(end);
                }
            }
        }
    }
}
