//! Positions of the snapshots in the log.

use {
    super::{RecordCx, RecordOutcome, SnapshotRecord},
    crate::process::platform::Offset,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Largest number of incomplete snapshots tracked.
const MAX_INCOMPLETE: usize = 8;

/// Position and age of a snapshot in the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotHeader {
    /// First offset that the snapshot does not cover.
    pub upto: Offset,
    /// Offset of the snapshot's first part.
    #[serde(rename = "first_part")]
    pub first_part_offset: Offset,
    /// When the log stored the first part, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// A snapshot whose parts have not all been read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct IncompleteSnapshot {
    #[serde(rename = "mark")]
    header: SnapshotHeader,
    parts_read: u32,
}

/// The complete snapshot that ends at the highest offset, and the incomplete ones. Only the
/// positions are kept: a reader that follows the log has the content of the snapshots already.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SnapshotFold {
    #[serde(rename = "started_ms")]
    first_record_ms: Option<u64>,
    latest: Option<SnapshotHeader>,
    #[serde(rename = "unfinished")]
    incomplete: BTreeMap<(u64, Offset), IncompleteSnapshot>,
}

impl SnapshotFold {
    /// Returns the complete snapshot that ends at the highest offset.
    pub fn latest(&self) -> Option<SnapshotHeader> {
        self.latest
    }

    /// Returns when the log stored the first part of the latest complete snapshot or, if there is
    /// none, the first record, in milliseconds since the Unix epoch.
    pub fn unsaved_since_ms(&self) -> Option<u64> {
        self.latest.map(|l| l.appended_ms).or(self.first_record_ms)
    }

    /// Records when the log stored the first record.
    pub(super) fn record_first_append(
        &mut self,
        cx: &RecordCx,
    ) {
        self.first_record_ms.get_or_insert(cx.appended_ms);
    }

    /// Folds one part of a snapshot. A part out of order discards its snapshot.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: &SnapshotRecord,
    ) -> RecordOutcome {
        let key = (cx.key.epoch, record.upto);
        let header = SnapshotHeader {
            upto: record.upto,
            first_part_offset: cx.offset,
            appended_ms: cx.appended_ms,
        };
        let snapshot = self.incomplete.entry(key).or_insert(IncompleteSnapshot {
            header,
            parts_read: 0,
        });
        if snapshot.parts_read != record.part_index {
            self.incomplete.remove(&key);
            return RecordOutcome::Stale;
        }
        snapshot.parts_read += 1;
        if snapshot.parts_read == record.part_count {
            let complete = snapshot.header;
            self.incomplete.remove(&key);
            let is_later = self.latest.is_none_or(|l| l.upto < complete.upto);
            if is_later {
                self.latest = Some(complete);
            }
        } else if self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
        RecordOutcome::Applied
    }
}
