//! The store's behaviour as plain data.

use {
    crate::{
        prelude::*,
        process::ledger::{Condition, Fence, KeyedPage, KeyedRecord, StoreError},
    },
    std::collections::BTreeMap,
};

/// How many appends of a producer are remembered, so that a repetition gets its first answer.
const REMEMBERED_APPENDS: usize = 5;

/// What the store does wrong.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreFaults {
    /// Every call is refused and has no effect.
    pub refuses: bool,
    /// Every append takes effect and is not answered.
    pub loses_answers: bool,
    /// How much longer each answer takes, in milliseconds.
    pub delay_ms: u64,
}

/// One topic with one partition.
#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<KeyedRecord>,
    newest: BTreeMap<Arc<str>, KeyedRecord>,
    writer: Writer,
}

/// The producer that appends under a fence.
#[derive(Debug, Default)]
struct Writer {
    epoch: u64,
    sequence: u64,
    answers: Vec<(u64, u64)>,
}

/// All topics.
#[derive(Debug, Default)]
pub struct StoreModel {
    topics: BTreeMap<String, Topic>,
    /// How many calls there were.
    pub calls: u64,
}

impl StoreModel {
    /// Appends records and returns the offset of the first one.
    ///
    /// # Errors
    /// [`StoreError`] when the condition does not hold.
    pub fn append(
        &mut self,
        topic: &str,
        records: &[KeyedRecord],
        condition: Condition,
    ) -> Result<u64, StoreError> {
        self.calls += 1;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        match condition {
            Condition::Always => {}
            Condition::EndsAt(end) if end == offset => {}
            Condition::EndsAt(_) => return Err(StoreError::EndMoved),
            Condition::Fenced(fence) => {
                if let Some(first_answer) = topic.writer.admit(fence)? {
                    return Ok(first_answer);
                }
                topic.writer.remember(fence.sequence, offset);
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
    /// [`StoreError::Trimmed`] when some of them are gone.
    pub fn read(
        &mut self,
        topic: &str,
        from: u64,
    ) -> Result<KeyedPage, StoreError> {
        self.calls += 1;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        if from < topic.first {
            return Err(StoreError::Trimmed);
        }
        let skipped = (from - topic.first) as usize;
        let records: Vec<KeyedRecord> = topic.records.iter().skip(skipped).cloned().collect();
        let end = from + records.len() as u64;
        Ok(KeyedPage { records, end })
    }

    /// Returns the newest record of each key.
    pub fn newest(
        &mut self,
        topic: &str,
    ) -> KeyedPage {
        self.calls += 1;
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let mut records: Vec<KeyedRecord> = topic.newest.values().cloned().collect();
        records.sort_by_key(|r| r.offset);
        KeyedPage {
            records,
            end: topic.end(),
        }
    }

    /// Returns the offset behind the last record and the first one that is kept.
    pub fn bounds(
        &self,
        topic: &str,
    ) -> (u64, u64) {
        let topic = self.topics.get(topic);
        topic.map_or((0, 0), |t| (t.end(), t.first))
    }

    /// Forgets the history of all topics; the newest record of each key stays.
    pub fn forget_history(&mut self) {
        for topic in self.topics.values_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
    }
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
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

impl Writer {
    /// Admits an append; returns the first answer when it is a repetition.
    fn admit(
        &mut self,
        fence: Fence,
    ) -> Result<Option<u64>, StoreError> {
        if fence.epoch < self.epoch {
            return Err(StoreError::Fenced);
        }
        if fence.epoch > self.epoch {
            self.epoch = fence.epoch;
            self.answers.clear();
            return Ok(None);
        }
        let repeated = self.answers.iter().find(|(s, _)| *s == fence.sequence);
        if let Some((_, offset)) = repeated {
            return Ok(Some(*offset));
        }
        if fence.sequence != self.sequence + 1 {
            return Err(StoreError::OutOfSequence(self.sequence + 1));
        }
        Ok(None)
    }

    fn remember(
        &mut self,
        sequence: u64,
        offset: u64,
    ) {
        self.sequence = sequence;
        self.answers.push((sequence, offset));
        if self.answers.len() > REMEMBERED_APPENDS {
            self.answers.remove(0);
        }
    }
}
