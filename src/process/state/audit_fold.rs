//! Audit history of changes by operators.

use {
    super::{AuditRecord, RecordCx, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Largest number of changes kept.
const MAX_AUDIT_ENTRIES: usize = 1000;

/// One change by an operator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AuditEntry {
    /// The operator who made the change.
    pub operator: OperatorName,
    /// Description of the change.
    pub action: Arc<str>,
    /// The document version that was in force at the entry that the operator used.
    pub from_version: VersionNumber,
    /// When the log stored the record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
}

/// The most recent changes by operators.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct AuditFold {
    entries: VecDeque<AuditEntry>,
}

impl AuditFold {
    /// Returns the retained changes, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// Adds a change to the history.
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
