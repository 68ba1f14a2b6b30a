//! Snapshots of the fold as records of the log.

use {
    super::Fold,
    crate::{prelude::*, process::platform::Offset},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The most bytes of one part of a snapshot.
const MAX_PART_BYTES: usize = 128 << 10;

/// The most snapshots that are put together at a time.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// One part of a snapshot: the state that all records below an offset give. Snapshots of the same
/// offset hold the same state, whoever wrote them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotRecord {
    /// The offset up to which the state is folded.
    pub upto: Offset,
    /// The number of this part, counted from 0.
    #[serde(rename = "part")]
    pub part_index: u32,
    /// The number of all parts.
    #[serde(rename = "parts")]
    pub part_count: u32,
    /// The bytes of this part.
    pub data: Bytes,
}

impl SnapshotRecord {
    /// Cuts the state of a fold into parts.
    ///
    /// # Errors
    /// The error of encoding.
    pub fn split_fold(fold: &Fold) -> Result<Vec<Self>, postcard::Error> {
        let whole = Bytes::from(fold.to_bytes()?);
        let parts = whole.len().div_ceil(MAX_PART_BYTES) as u32;
        let cut = (0..parts).map(|part| {
            let start = part as usize * MAX_PART_BYTES;
            let end = whole.len().min(start + MAX_PART_BYTES);
            Self {
                upto: fold.next_offset(),
                part_index: part,
                part_count: parts,
                data: whole.slice(start..end),
            }
        });
        Ok(cut.collect())
    }
}

/// Puts the parts of snapshots together again.
#[derive(Debug, Default)]
pub(super) struct SnapshotAssembler {
    parts: BTreeMap<(Offset, u64), Vec<Bytes>>,
}

impl SnapshotAssembler {
    /// Adds a part; returns the state when it was the last one. A part out of order drops what was
    /// collected of its snapshot.
    pub(super) fn add(
        &mut self,
        writer_epoch: u64,
        record: SnapshotRecord,
    ) -> Option<Fold> {
        let key = (record.upto, writer_epoch);
        let parts = self.parts.entry(key).or_default();
        if parts.len() != record.part_index as usize {
            self.parts.remove(&key);
            return None;
        }
        parts.push(record.data);
        if parts.len() == record.part_count as usize {
            let parts = self.parts.remove(&key)?;
            let fold = Fold::from_bytes(&parts.concat());
            if let Err(e) = &fold {
                tracing::error!(error = ?e, "a snapshot cannot be read and is passed over");
            }
            return fold.ok();
        }
        if self.parts.len() > MAX_PARTIAL_SNAPSHOTS {
            self.parts.pop_first();
        }
        None
    }
}
