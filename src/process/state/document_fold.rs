//! The documents that the log tells of.

use {
    super::{DocumentRecord, RecordCx, RecordKey, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// The most versions that the history keeps.
const MAX_HISTORY_VERSIONS: usize = 64;

/// The most bytes of text that the history keeps beside the version in force.
const MAX_HISTORY_BYTES: usize = 1 << 20;

/// An accepted version of the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedVersion {
    /// Its number.
    pub version: VersionNumber,
    /// The record by which it was submitted.
    pub key: RecordKey,
    /// Who submitted it.
    pub operator: OperatorName,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Its text.
    pub text: Arc<str>,
}

/// The document in force and the versions before it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct DocumentFold {
    history: VecDeque<AcceptedVersion>,
    #[serde(skip)]
    document: Rc<Document>,
}

impl DocumentFold {
    /// Returns the version in force; 0 before the first one.
    pub fn version(&self) -> VersionNumber {
        self.history.back().map(|v| v.version).unwrap_or_default()
    }

    /// Returns the document in force.
    pub fn document(&self) -> &Rc<Document> {
        &self.document
    }

    /// Returns the kept versions, the oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedVersion> {
        self.history.iter()
    }

    /// Returns a kept version.
    pub fn get(
        &self,
        version: VersionNumber,
    ) -> Option<&AcceptedVersion> {
        self.history.iter().find(|v| v.version == version)
    }

    /// Folds a submitted document: it is accepted when it follows the version in force here.
    ///
    /// Acceptance does not depend on the checks of the reader's program, so that readers of
    /// different releases agree; the writer has checked the text.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: DocumentRecord,
    ) -> RecordOutcome {
        let in_force = self.version();
        if record.follows != in_force {
            return RecordOutcome::Conflict(in_force);
        }
        let version = in_force.next();
        self.history.push_back(AcceptedVersion {
            version,
            key: cx.key,
            operator: record.operator,
            accepted_ms: cx.appended_ms,
            text: record.text,
        });
        self.trim_history();
        self.parse_document();
        RecordOutcome::Accepted(version)
    }

    /// Parses the text in force. A text that this program cannot read leaves the document as it
    /// was.
    pub(super) fn parse_document(&mut self) {
        let Some(latest) = self.history.back() else {
            return;
        };
        match Document::parse("document", &latest.text) {
            Ok(document) => self.document = Rc::new(document),
            Err(e) => tracing::error!(
                version = %latest.version,
                error = %e,
                "the accepted document cannot be read by this release"
            ),
        }
    }

    fn trim_history(&mut self) {
        let mut bytes: usize = self.history.iter().map(|v| v.text.len()).sum();
        while self.history.len() > 1
            && (self.history.len() > MAX_HISTORY_VERSIONS || bytes > MAX_HISTORY_BYTES)
        {
            let oldest = self.history.pop_front();
            bytes -= oldest.map_or(0, |v| v.text.len());
        }
    }
}
