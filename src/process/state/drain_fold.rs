//! The upstreams that operators drain.

use {
    super::{DrainRecord, RecordCx, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The most drained upstreams; a mark beyond that is passed over.
const MAX_DRAINED_UPSTREAMS: usize = 4096;

/// Who drained an upstream, and when.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ActiveDrain {
    /// The operator.
    pub operator: OperatorName,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// The drained upstreams.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DrainFold {
    drained: BTreeMap<UpstreamName, ActiveDrain>,
}

impl DrainFold {
    /// Returns the mark of a drained upstream.
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
        let known = self.drained.contains_key(&record.upstream);
        if !record.is_drained {
            self.drained.remove(&record.upstream);
        } else if !known && self.drained.len() < MAX_DRAINED_UPSTREAMS {
            let mark = ActiveDrain {
                operator: record.operator,
                since_ms: cx.appended_ms,
            };
            self.drained.insert(record.upstream, mark);
        }
        if known == record.is_drained {
            RecordOutcome::Stale
        } else {
            RecordOutcome::Applied
        }
    }
}
