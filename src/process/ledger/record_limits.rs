//! The sizes of records and appends that the store accepts.

use {
    super::{KeyedRecord, StoreError},
    crate::{
        connection::MAX_FRAME_BYTES,
        request::{StepJob, UnitId},
    },
};

/// The size limit of a record if the settings give none, in bytes.
pub const DEFAULT_RECORD_BYTES: usize = 262_144;

/// The size limit of an append if the settings give none, in bytes.
pub const DEFAULT_APPEND_BYTES: usize = 2_097_152;

/// The part of a frame that is not available to the records of an append that goes through another
/// entry, in bytes: the topic, the condition, and the offsets and lengths of up to 1,000 records.
const FRAME_RESERVE_BYTES: usize = 64 << 10;

/// The length field that precedes each record of an append, in bytes.
const RECORD_LENGTH_BYTES: usize = 4;

/// The upper limit on the encoded length of a number, in bytes.
const MAX_NUMBER_BYTES: usize = 10;

/// The upper limit on the length of the key of a job's record and on the encoded length of the fields of its
/// progress that do not grow with the number of units, in bytes.
const PROGRESS_ENVELOPE_BYTES: usize = 100;

/// The upper limit on the encoded length of the ID of a unit and of the lengths of what is stored
/// for it, in bytes.
const UNIT_ENVELOPE_BYTES: usize = 40;

/// The sizes of records and appends that the store accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecordLimits {
    /// The size limit of a record with its key, in bytes.
    pub record_bytes: usize,
    /// The size limit of an append, in bytes.
    pub append_bytes: usize,
}

impl Default for RecordLimits {
    fn default() -> Self {
        Self::new(DEFAULT_RECORD_BYTES, DEFAULT_APPEND_BYTES)
    }
}

impl RecordLimits {
    /// Creates the limits that follow from those of the store. An append must also fit into the
    /// frame by which another entry makes it, and a record into an append.
    pub fn new(
        record_bytes: usize,
        append_bytes: usize,
    ) -> Self {
        let append_bytes = append_bytes.min(MAX_FRAME_BYTES - FRAME_RESERVE_BYTES);
        Self {
            record_bytes: record_bytes.min(append_bytes.saturating_sub(RECORD_LENGTH_BYTES)),
            append_bytes,
        }
    }

    /// Returns whether the store accepts a record of this size.
    pub fn accepts(
        &self,
        record: &KeyedRecord,
    ) -> bool {
        record.size() <= self.record_bytes
    }

    /// Checks the sizes of an append.
    ///
    /// # Errors
    /// Returns [`StoreError::Rejected`] if a record or the whole append is too large.
    pub fn check(
        &self,
        records: &[KeyedRecord],
    ) -> Result<(), StoreError> {
        if let Some(record) = records.iter().find(|r| !self.accepts(r)) {
            return Err(StoreError::Rejected(format!(
                "the record {} of {} bytes is above the limit of {} bytes",
                record.key,
                record.size(),
                self.record_bytes
            )));
        }
        let size = append_size(records);
        if size > self.append_bytes {
            return Err(StoreError::Rejected(format!(
                "an append of {size} bytes is above the limit of {} bytes",
                self.append_bytes
            )));
        }
        Ok(())
    }

    /// Returns the length of the longest checkpoint that a record holds beside a number of failed
    /// runs of its unit, in bytes; `None` if the failed runs alone may not fit.
    pub fn max_checkpoint_bytes(
        &self,
        failed_runs: u32,
    ) -> Option<usize> {
        let failed_bytes = (failed_runs as usize).saturating_mul(MAX_NUMBER_BYTES);
        let envelope_bytes = PROGRESS_ENVELOPE_BYTES + UNIT_ENVELOPE_BYTES;
        let used_bytes = failed_bytes.saturating_add(envelope_bytes);
        self.record_bytes.checked_sub(used_bytes)
    }

    /// Checks that the record of a job and any progress that it can make fit into the store.
    ///
    /// # Errors
    /// Returns [`StoreError::Rejected`] with the reason if they do not.
    pub fn check_job(
        &self,
        job: &StepJob,
        record: &KeyedRecord,
    ) -> Result<(), StoreError> {
        self.check(std::slice::from_ref(record))?;
        if self.max_checkpoint_bytes(job.attempts).is_none() {
            return Err(StoreError::Rejected(format!(
                "the failed runs of {} attempts do not fit into a record of {} bytes",
                job.attempts, self.record_bytes
            )));
        }
        let done_bytes = max_done_bytes(job);
        if done_bytes.saturating_add(PROGRESS_ENVELOPE_BYTES) > self.record_bytes {
            return Err(StoreError::Rejected(format!(
                "a list of the subtasks takes up to {done_bytes} bytes, which do not fit into a record of {} bytes",
                self.record_bytes
            )));
        }
        Ok(())
    }
}

impl KeyedRecord {
    /// Returns the size of the record at the store, in bytes: the key's length, the key and the
    /// value.
    pub fn size(&self) -> usize {
        1 + self.key.len() + self.value.as_ref().map_or(0, |v| v.len())
    }

    /// Returns the size of the record in an append, in bytes.
    pub fn append_size(&self) -> usize {
        RECORD_LENGTH_BYTES + self.size()
    }
}

/// Returns the size of an append, in bytes.
pub fn append_size(records: &[KeyedRecord]) -> usize {
    records.iter().map(KeyedRecord::append_size).sum()
}

/// Returns the encoded length of the set of all units of a job, in bytes, as an upper limit.
fn max_done_bytes(job: &StepJob) -> usize {
    let occurrences = job.occurrences() as usize;
    let steps = job.steps.iter().enumerate().map(|(number, step)| {
        let last = UnitId {
            occurrence: job.occurrences(),
            step: u16::try_from(number).unwrap_or(u16::MAX),
            index: step.unit_count(),
        };
        let unit_bytes = postcard::to_stdvec(&last).map_or(MAX_NUMBER_BYTES, |v| v.len());
        (step.unit_count() as usize).saturating_mul(unit_bytes)
    });
    let per_occurrence = steps.fold(0, usize::saturating_add);
    per_occurrence.saturating_mul(occurrences)
}
