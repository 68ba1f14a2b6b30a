//! Which snapshots stand on the log.

use {
    super::{RecordCx, RecordOutcome, SnapshotRecord},
    crate::process::platform::Offset,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The most unfinished snapshots that are followed.
const MAX_UNFINISHED: usize = 8;

/// A whole snapshot on the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotMark {
    /// The offset up to which it holds the state.
    pub upto: Offset,
    /// Where its first part stands.
    pub first_part: Offset,
    /// When the log took its first part, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// A snapshot whose parts have not all been read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Unfinished {
    mark: SnapshotMark,
    parts_read: u32,
}

/// The latest whole snapshot, and those being written. What the snapshots hold changes nothing in
/// a reader that has read up to them.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SnapshotFold {
    started_ms: Option<u64>,
    latest: Option<SnapshotMark>,
    unfinished: BTreeMap<(u64, Offset), Unfinished>,
}

impl SnapshotFold {
    /// Returns the whole snapshot that holds the latest state.
    pub fn latest(&self) -> Option<SnapshotMark> {
        self.latest
    }

    /// Returns since when the state that is not in a snapshot stands on the log, in milliseconds
    /// since the Unix epoch.
    pub fn unsaved_since_ms(&self) -> Option<u64> {
        self.latest.map(|l| l.appended_ms).or(self.started_ms)
    }

    /// Notes when the first record was appended.
    pub(super) fn note_start(
        &mut self,
        cx: &RecordCx,
    ) {
        self.started_ms.get_or_insert(cx.appended_ms);
    }

    /// Counts one part of a snapshot.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: &SnapshotRecord,
    ) -> RecordOutcome {
        let key = (cx.key.epoch, record.upto);
        let mark = SnapshotMark {
            upto: record.upto,
            first_part: cx.offset,
            appended_ms: cx.appended_ms,
        };
        let unfinished = self.unfinished.entry(key).or_insert(Unfinished {
            mark,
            parts_read: 0,
        });
        if unfinished.parts_read != record.part {
            self.unfinished.remove(&key);
            return RecordOutcome::Stale;
        }
        unfinished.parts_read += 1;
        if unfinished.parts_read == record.parts {
            let whole = unfinished.mark;
            self.unfinished.remove(&key);
            let later = self.latest.is_none_or(|l| l.upto < whole.upto);
            if later {
                self.latest = Some(whole);
            }
        } else if self.unfinished.len() > MAX_UNFINISHED {
            self.unfinished.pop_first();
        }
        RecordOutcome::Applied
    }
}
