//! Snapshots of the state, split into records of the log and reassembled from them.

use {
    super::Fold,
    crate::{prelude::*, process::platform::Offset},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Largest size of one part of a snapshot, in bytes.
const MAX_PART_BYTES: usize = 128 << 10;

/// Largest number of snapshots that are assembled at the same time.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// One part of a snapshot, which holds the state after all records below an offset. Snapshots up to
/// the same offset hold the same state, whichever entry wrote them.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SnapshotRecord {
    /// First offset that the snapshot does not cover.
    pub upto: Offset,
    /// Index of this part, counted from 0.
    #[serde(rename = "part")]
    pub part_index: u32,
    /// Number of parts of the snapshot.
    #[serde(rename = "parts")]
    pub part_count: u32,
    /// Encoded bytes of this part.
    pub data: Bytes,
}

impl SnapshotRecord {
    /// Encodes a fold and splits it into the parts of a snapshot.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn split_fold(fold: &Fold) -> Result<Vec<Self>, postcard::Error> {
        let encoded = Bytes::from(fold.to_bytes()?);
        let part_count = encoded.len().div_ceil(MAX_PART_BYTES) as u32;
        let records = (0..part_count).map(|part_index| {
            let start = part_index as usize * MAX_PART_BYTES;
            let end = encoded.len().min(start + MAX_PART_BYTES);
            Self {
                upto: fold.next_offset(),
                part_index,
                part_count,
                data: encoded.slice(start..end),
            }
        });
        Ok(records.collect())
    }
}

/// Reassembles snapshots from their parts.
#[derive(Debug, Default)]
pub(super) struct SnapshotAssembler {
    parts: BTreeMap<(Offset, u64), Vec<Bytes>>,
}

impl SnapshotAssembler {
    /// Adds a part and returns the state if the part completes its snapshot. A part out of order
    /// discards the parts of that snapshot collected so far.
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
                tracing::error!(error = ?e, "cannot decode a snapshot; ignoring it");
            }
            return fold.ok();
        }
        if self.parts.len() > MAX_PARTIAL_SNAPSHOTS {
            self.parts.pop_first();
        }
        None
    }
}
