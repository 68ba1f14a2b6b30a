//! The behaviour of the store as plain data.

use {
    crate::{
        prelude::*,
        process::ledger::{Condition, Fence, KeyedPage, KeyedRecord, StoreError},
    },
    std::collections::BTreeMap,
};

/// The number of a producer's last appends whose answers are retained, so that a repeated append
/// gets the same answer.
const MAX_RETAINED_ANSWERS: usize = 5;

/// The faults that the store shows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Whether every call is refused without effect.
    pub refuses_calls: bool,
    /// Whether every append takes effect but is not answered.
    pub drops_answers: bool,
    /// After how many milliseconds an append that is not answered takes effect; 0 for appends that
    /// take effect at once.
    pub append_delay_ms: u64,
    /// The added delay of each answer, in milliseconds.
    pub delay_ms: u64,
}

/// The limits that the store enforces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreLimits {
    /// The size limit of a record with its key, in bytes.
    pub record_bytes: usize,
    /// The size limit of an append, in bytes.
    pub request_bytes: usize,
    /// The limit on appends in each second.
    pub writes_per_s: Option<u32>,
    /// The limit on reads in each second.
    pub reads_per_s: Option<u32>,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            record_bytes: 262_144,
            request_bytes: 2_097_152,
            writes_per_s: None,
            reads_per_s: None,
        }
    }
}

impl StoreLimits {
    /// Checks the sizes of an append. A record consists of the key's length in one byte, the key and
    /// the value; in an append, a length of four bytes precedes it.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if a record or the append is too large.
    fn check(
        &self,
        records: &[KeyedRecord],
    ) -> Result<(), StoreError> {
        let sizes = records
            .iter()
            .map(|r| 1 + r.key.len() + r.value.as_ref().map_or(0, |v| v.len()));
        let sizes: Vec<usize> = sizes.collect();
        let largest = sizes.iter().copied().max().unwrap_or_default();
        let total: usize = sizes.iter().map(|size| 4 + size).sum();
        if largest > self.record_bytes || total > self.request_bytes {
            return Err(StoreError::Rejected(format!(
                "a record of {largest} bytes in an append of {total} bytes"
            )));
        }
        Ok(())
    }
}

/// A topic with one partition.
#[derive(Clone, Debug, Default)]
struct Topic {
    first_offset: u64,
    records: Vec<KeyedRecord>,
    newest: BTreeMap<Arc<str>, KeyedRecord>,
    producer: Producer,
}

/// The state of the producer whose appends are fenced. `retained_answers` holds sequence numbers
/// and offsets.
#[derive(Clone, Debug, Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    retained_answers: Vec<(u64, u64)>,
}

/// A store with all its topics.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    topics: BTreeMap<String, Topic>,
    /// The number of appends and reads.
    pub call_count: u64,
    /// The limits; those on calls are not enforced here.
    pub limits: StoreLimits,
    /// The number of appends that were refused because of their size.
    pub oversized_appends: u64,
}

impl StoreModel {
    /// Appends records and returns the offset of the first one.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if a limit is exceeded or the condition does not hold.
    pub fn append(
        &mut self,
        topic: &str,
        records: &[KeyedRecord],
        condition: Condition,
    ) -> Result<u64, StoreError> {
        self.call_count += 1;
        if let Err(e) = self.limits.check(records) {
            self.oversized_appends += 1;
            return Err(e);
        }
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        match condition {
            Condition::Always => {}
            Condition::EndsAt(end) if end == offset => {}
            Condition::EndsAt(_) => return Err(StoreError::EndMoved),
            Condition::Fenced(fence) => {
                if let Some(first_answer) = topic.producer.admit(fence)? {
                    return Ok(first_answer);
                }
                topic.producer.record_append(fence.sequence, offset);
            }
        }
        for record in records {
            topic.push(record.clone());
        }
        Ok(offset)
    }

    /// Returns the records from an offset on.
    ///
    /// # Errors
    /// Returns [`StoreError::Trimmed`] if some of them are no longer retained.
    pub fn read(
        &mut self,
        topic: &str,
        from: u64,
    ) -> Result<KeyedPage, StoreError> {
        self.call_count += 1;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        if from < topic.first_offset {
            return Err(StoreError::Trimmed);
        }
        let skipped = (from - topic.first_offset) as usize;
        let records: Vec<KeyedRecord> = topic.records.iter().skip(skipped).cloned().collect();
        let end = from + records.len() as u64;
        Ok(KeyedPage {
            records,
            end,
            has_more: false,
        })
    }

    /// Returns the newest record of each key that is not removed.
    pub fn newest(
        &mut self,
        topic: &str,
    ) -> KeyedPage {
        self.call_count += 1;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let mut records: Vec<KeyedRecord> = topic.newest.values().cloned().collect();
        records.sort_by_key(|r| r.offset);
        KeyedPage {
            records,
            end: topic.end(),
            has_more: false,
        }
    }

    /// Returns the offset after the last record and the first retained offset.
    pub fn bounds(
        &self,
        topic: &str,
    ) -> (u64, u64) {
        let topic = self.topics.get(topic);
        topic.map_or((0, 0), |t| (t.end(), t.first_offset))
    }

    /// Trims the history of all topics and retains only the newest record of each key.
    pub fn trim_history(&mut self) {
        for topic in self.topics.values_mut() {
            topic.first_offset = topic.end();
            topic.records.clear();
        }
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn push(
        &mut self,
        mut record: KeyedRecord,
    ) {
        record.offset = self.end();
        match record.value {
            Some(_) => drop(self.newest.insert(record.key.clone(), record.clone())),
            None => drop(self.newest.remove(&record.key)),
        }
        self.records.push(record);
    }
}

impl Producer {
    /// Checks the fence of an append. Returns the answer of the first attempt if the append is a
    /// repetition.
    ///
    /// # Errors
    /// Returns [`StoreError::Fenced`] if a higher epoch has appended, and
    /// [`StoreError::OutOfSequence`] if the sequence number is not the next one.
    fn admit(
        &mut self,
        fence: Fence,
    ) -> Result<Option<u64>, StoreError> {
        if fence.epoch < self.epoch {
            return Err(StoreError::Fenced);
        }
        if fence.epoch > self.epoch {
            self.epoch = fence.epoch;
            self.retained_answers.clear();
            return Ok(None);
        }
        let repeated = self
            .retained_answers
            .iter()
            .find(|(s, _)| *s == fence.sequence);
        if let Some((_, offset)) = repeated {
            return Ok(Some(*offset));
        }
        if fence.sequence != self.sequence + 1 {
            return Err(StoreError::OutOfSequence(self.sequence + 1));
        }
        Ok(None)
    }

    fn record_append(
        &mut self,
        sequence: u64,
        offset: u64,
    ) {
        self.sequence = sequence;
        self.retained_answers.push((sequence, offset));
        if self.retained_answers.len() > MAX_RETAINED_ANSWERS {
            self.retained_answers.remove(0);
        }
    }
}
