//! Upstreams drained by operators.

use {
    super::{DrainRecord, RecordCx, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Largest number of drained upstreams; drains beyond it are not stored.
const MAX_DRAINED_UPSTREAMS: usize = 4096;

/// The drain of an upstream that is in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveDrain {
    /// The operator who started the drain.
    pub operator: OperatorName,
    /// When the log stored the record, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// The drained upstreams.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DrainFold {
    drained: BTreeMap<UpstreamName, ActiveDrain>,
}

impl DrainFold {
    /// Returns the drain of an upstream, if it is drained.
    pub fn get(
        &self,
        upstream: &UpstreamName,
    ) -> Option<&ActiveDrain> {
        self.drained.get(upstream)
    }

    /// Returns the names of the drained upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamName> {
        self.drained.keys()
    }

    /// Folds the start or end of a drain.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: DrainRecord,
    ) -> RecordOutcome {
        let was_drained = self.drained.contains_key(&record.upstream);
        if !record.is_drained {
            self.drained.remove(&record.upstream);
        } else if !was_drained {
            if self.drained.len() >= MAX_DRAINED_UPSTREAMS {
                tracing::error!(upstream = %record.upstream, limit = MAX_DRAINED_UPSTREAMS, "too many upstreams are drained; the drain is not stored");
                return RecordOutcome::Stale;
            }
            let drain = ActiveDrain {
                operator: record.operator,
                since_ms: cx.appended_ms,
            };
            self.drained.insert(record.upstream, drain);
        }
        if was_drained == record.is_drained {
            RecordOutcome::Stale
        } else {
            RecordOutcome::Applied
        }
    }
}
