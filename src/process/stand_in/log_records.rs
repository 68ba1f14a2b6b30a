//! The records that the stand-in log keeps.

use {
    super::LogLimits,
    crate::{
        prelude::*,
        process::platform::{Batch, LogRecord, Offset},
    },
    std::collections::VecDeque,
};

/// The most records of one answer.
const MAX_BATCH: usize = 1000;

/// The most bytes of one answer, except when one record alone has more.
const MAX_BATCH_BYTES: usize = 4 << 20;

/// A log in memory that drops its oldest records.
#[derive(Debug, Default)]
pub struct LogRecords {
    records: VecDeque<LogRecord>,
    first: u64,
    bytes: usize,
}

impl LogRecords {
    /// Returns the oldest kept offset.
    pub fn first(&self) -> Offset {
        Offset(self.first)
    }

    /// Returns the offset that the next record will get.
    pub fn end(&self) -> Offset {
        Offset(self.first + self.records.len() as u64)
    }

    /// Returns the bytes of the kept records.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends records next to each other and returns the offset of the first.
    pub fn append(
        &mut self,
        wall: Millis,
        records: Vec<Bytes>,
    ) -> Offset {
        let first = self.end();
        for data in records {
            self.bytes += data.len();
            self.records.push_back(LogRecord {
                offset: self.end(),
                appended_ms: wall.0,
                data,
            });
        }
        first
    }

    /// Drops the records past their time, their number or their bytes.
    pub fn expire(
        &mut self,
        wall: Millis,
        limits: &LogLimits,
    ) {
        let oldest_ms = wall.0.saturating_sub(Millis::from(limits.retention).0);
        while let Some(oldest) = self.records.front() {
            let expired = oldest.appended_ms < oldest_ms;
            let too_many = self.records.len() > limits.max_records;
            if !expired && !too_many && self.bytes <= limits.max_bytes {
                return;
            }
            self.bytes -= oldest.data.len();
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Reads from an offset, or from the oldest kept one when that is later.
    pub fn read(
        &self,
        from: Offset,
    ) -> Batch {
        let skip = from.0.saturating_sub(self.first) as usize;
        let mut bytes = 0;
        let wanted = self.records.iter().skip(skip).take(MAX_BATCH);
        let fitting = wanted.enumerate().take_while(|(i, r)| {
            bytes += r.data.len();
            *i == 0 || bytes <= MAX_BATCH_BYTES
        });
        Batch {
            records: fitting.map(|(_, r)| r.clone()).collect(),
            first: self.first(),
            end: self.end(),
        }
    }
}
