//! The writers whose records the log holds.

use {
    super::{RecordCx, RecordKey},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The most writers that are kept; each start of an entry is one.
const MAX_WRITERS: usize = 4096;

/// The last record of one start of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterProgress {
    /// The entry.
    pub writer: EntryName,
    /// The number of its last record.
    pub sequence: u64,
    /// When the log took that record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// The last record of each writer. Writers append in the order of their numbers, so a record with
/// a number that is not above the last one is a copy, or came late and was given up.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WriterFold {
    writers: BTreeMap<u64, WriterProgress>,
}

impl WriterFold {
    /// Counts a record; `false` when it must not be folded.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
    ) -> bool {
        if self.has_reached(cx.key) {
            return false;
        }
        let mark = WriterProgress {
            writer: cx.writer.clone(),
            sequence: cx.key.sequence,
            appended_ms: cx.appended_ms,
        };
        self.writers.insert(cx.key.epoch, mark);
        if self.writers.len() > MAX_WRITERS {
            self.remove_oldest();
        }
        true
    }

    /// Tells whether this or a later record of the same writer has been folded.
    pub fn has_reached(
        &self,
        key: RecordKey,
    ) -> bool {
        let mark = self.writers.get(&key.epoch);
        mark.is_some_and(|m| m.sequence >= key.sequence)
    }

    /// Returns the last record of one start of an entry.
    pub fn get(
        &self,
        epoch: u64,
    ) -> Option<&WriterProgress> {
        self.writers.get(&epoch)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.writers.iter().min_by_key(|(_, m)| m.appended_ms);
        if let Some(epoch) = oldest.map(|(epoch, _)| *epoch) {
            self.writers.remove(&epoch);
        }
    }
}
