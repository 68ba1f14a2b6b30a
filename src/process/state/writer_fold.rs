//! Progress of the writers, by which duplicate and late records are recognised.

use {
    super::{RecordCx, RecordKey},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Largest number of writers kept; each start of an entry counts as one.
const MAX_WRITERS: usize = 4096;

/// The last record of a writer, which is one start of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterProgress {
    /// The entry.
    pub writer: EntryName,
    /// Sequence number of the writer's last record.
    pub sequence: u64,
    /// When the log stored that record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// The last record of each writer. Writers append in the order of their sequence numbers, so a
/// record whose number is not above the last one is a duplicate, or was delayed and abandoned by
/// its writer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WriterFold {
    writers: BTreeMap<u64, WriterProgress>,
}

impl WriterFold {
    /// Registers a record and returns whether it may be folded.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
    ) -> bool {
        if self.has_reached(cx.key) {
            return false;
        }
        let progress = WriterProgress {
            writer: cx.writer.clone(),
            sequence: cx.key.sequence,
            appended_ms: cx.appended_ms,
        };
        self.writers.insert(cx.key.epoch, progress);
        if self.writers.len() > MAX_WRITERS {
            self.remove_oldest();
        }
        true
    }

    /// Returns whether this or a later record of the same writer has been registered.
    pub fn has_reached(
        &self,
        key: RecordKey,
    ) -> bool {
        let progress = self.writers.get(&key.epoch);
        progress.is_some_and(|p| p.sequence >= key.sequence)
    }

    /// Returns the progress of the writer with an epoch.
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
