//! Which snapshots stand on the log.

use {
    super::{RecordCx, RecordOutcome, SnapshotRecord},
    crate::process::platform::Offset,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The most unfinished snapshots that are followed.
const MAX_INCOMPLETE: usize = 8;

/// A whole snapshot on the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotHeader {
    /// The offset up to which it holds the state.
    pub upto: Offset,
    /// Where its first part stands.
    #[serde(rename = "first_part")]
    pub first_part_offset: Offset,
    /// When the log took its first part, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// A snapshot whose parts have not all been read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct IncompleteSnapshot {
    #[serde(rename = "mark")]
    header: SnapshotHeader,
    parts_read: u32,
}

/// The latest whole snapshot, and those being written. What the snapshots hold changes nothing in
/// a reader that has read up to them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SnapshotFold {
    #[serde(rename = "started_ms")]
    first_record_ms: Option<u64>,
    latest: Option<SnapshotHeader>,
    #[serde(rename = "unfinished")]
    incomplete: BTreeMap<(u64, Offset), IncompleteSnapshot>,
}

impl SnapshotFold {
    /// Returns the whole snapshot that holds the latest state.
    pub fn latest(&self) -> Option<SnapshotHeader> {
        self.latest
    }

    /// Returns since when the state that is not in a snapshot stands on the log, in milliseconds
    /// since the Unix epoch.
    pub fn unsaved_since_ms(&self) -> Option<u64> {
        self.latest.map(|l| l.appended_ms).or(self.first_record_ms)
    }

    /// Notes when the first record was appended.
    pub(super) fn record_first_append(
        &mut self,
        cx: &RecordCx,
    ) {
        self.first_record_ms.get_or_insert(cx.appended_ms);
    }

    /// Counts one part of a snapshot.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: &SnapshotRecord,
    ) -> RecordOutcome {
        let key = (cx.key.epoch, record.upto);
        let mark = SnapshotHeader {
            upto: record.upto,
            first_part_offset: cx.offset,
            appended_ms: cx.appended_ms,
        };
        let unfinished = self.incomplete.entry(key).or_insert(IncompleteSnapshot {
            header: mark,
            parts_read: 0,
        });
        if unfinished.parts_read != record.part_index {
            self.incomplete.remove(&key);
            return RecordOutcome::Stale;
        }
        unfinished.parts_read += 1;
        if unfinished.parts_read == record.part_count {
            let whole = unfinished.header;
            self.incomplete.remove(&key);
            let later = self.latest.is_none_or(|l| l.upto < whole.upto);
            if later {
                self.latest = Some(whole);
            }
        } else if self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        RecordOutcome::Applied
    }
}
