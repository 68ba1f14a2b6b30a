//! What operators changed.

use {
    super::{AuditRecord, RecordCx, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The most changes that are kept.
const MAX_AUDIT_ENTRIES: usize = 1000;

/// One change by an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Who made it.
    pub operator: OperatorName,
    /// What was done.
    pub action: Arc<str>,
    /// The document version that was in force for the operator.
    pub from_version: VersionNumber,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// The changes that operators made last.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AuditFold {
    entries: VecDeque<AuditEntry>,
}

impl AuditFold {
    /// Returns the kept changes, the oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// Folds a change.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: AuditRecord,
    ) -> RecordOutcome {
        self.entries.push_back(AuditEntry {
            operator: record.operator,
            action: record.action,
            from_version: record.from_version,
            appended_ms: cx.appended_ms,
        });
        if self.entries.len() > MAX_AUDIT_ENTRIES {
            self.entries.pop_front();
        }
        RecordOutcome::Applied
    }
}
