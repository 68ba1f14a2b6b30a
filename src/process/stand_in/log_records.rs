//! The storage of the stand-in log.

use {
    super::LogLimits,
    crate::{
        prelude::*,
        process::platform::{Batch, LogRecord, Offset},
    },
    std::collections::VecDeque,
};

/// The largest number of records in one batch.
const MAX_BATCH_RECORDS: usize = 1000;

/// The largest total size of the records in one batch, in bytes. A batch of one record may exceed
/// it, so that a larger record can still be read.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// The records of a log in memory, of which the oldest are dropped when a limit is exceeded.
#[derive(Debug, Default)]
pub struct LogRecords {
    records: VecDeque<LogRecord>,
    first_offset: u64,
    stored_bytes: usize,
}

impl LogRecords {
    /// Returns the offset of the oldest retained record.
    pub fn first_offset(&self) -> Offset {
        Offset(self.first_offset)
    }

    /// Returns the offset that the next appended record will get.
    pub fn end_offset(&self) -> Offset {
        Offset(self.first_offset + self.records.len() as u64)
    }

    /// Returns the total size of the retained records, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Appends records at consecutive offsets and returns the offset of the first one.
    pub fn append(
        &mut self,
        wall: Millis,
        records: Vec<Bytes>,
    ) -> Offset {
        let first = self.end_offset();
        for data in records {
            self.stored_bytes += data.len();
            self.records.push_back(LogRecord {
                offset: self.end_offset(),
                appended_ms: wall.0,
                data,
            });
        }
        first
    }

    /// Drops the oldest records until those left are within the limits on age, count and size.
    pub fn expire(
        &mut self,
        wall: Millis,
        limits: &LogLimits,
    ) {
        let oldest_ms = wall.0.saturating_sub(Millis::from(limits.retention).0);
        while let Some(oldest) = self.records.front() {
            let expired = oldest.appended_ms < oldest_ms;
            let too_many = self.records.len() > limits.max_records;
            if !expired && !too_many && self.stored_bytes <= limits.max_bytes {
                return;
            }
            self.stored_bytes -= oldest.data.len();
            self.records.pop_front();
            self.first_offset += 1;
        }
    }

    /// Returns a batch of records from an offset, or from the oldest retained one if that is later.
    pub fn read(
        &self,
        from: Offset,
    ) -> Batch {
        let skip = from.0.saturating_sub(self.first_offset) as usize;
        let mut bytes = 0;
        let wanted = self.records.iter().skip(skip).take(MAX_BATCH_RECORDS);
        let fitting = wanted.enumerate().take_while(|(i, r)| {
            bytes += r.data.len();
            *i == 0 || bytes <= MAX_BATCH_BYTES
        });
        Batch {
            records: fitting.map(|(_, r)| r.clone()).collect(),
            first: self.first_offset(),
            end: self.end_offset(),
        }
    }
}
