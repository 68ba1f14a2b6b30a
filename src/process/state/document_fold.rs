//! Versions of the document.

use {
    super::{DocumentRecord, RecordCx, RecordKey, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Largest number of retained versions.
const MAX_HISTORY_VERSIONS: usize = 64;

/// Largest total text of the retained versions, in bytes. The version in force is retained even if
/// it alone exceeds this.
const MAX_HISTORY_BYTES: usize = 1 << 20;

/// An accepted version of the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedVersion {
    /// The version's number.
    pub version: VersionNumber,
    /// Identity of the record that submitted the version.
    pub key: RecordKey,
    /// The operator who submitted the version.
    pub operator: OperatorName,
    /// When the log stored the record, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// The document's text.
    pub text: Arc<str>,
}

/// The document in force and the history of accepted versions.
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

    /// Returns the retained versions, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedVersion> {
        self.history.iter()
    }

    /// Returns a version, if it is retained.
    pub fn get(
        &self,
        version: VersionNumber,
    ) -> Option<&AcceptedVersion> {
        self.history.iter().find(|v| v.version == version)
    }

    /// Folds a submitted document, which is accepted if it follows the version in force.
    ///
    /// The text is not validated here, so that readers of different releases agree on the outcome;
    /// the writer has validated it.
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

    /// Parses the newest text that this release can parse. If it can parse none, the document stays
    /// as it is; in a state that was just decoded it is empty.
    pub fn parse_document(&mut self) {
        for accepted in self.history.iter().rev() {
            match Document::parse("document", &accepted.text) {
                Ok(document) => {
                    self.document = Rc::new(document);
                    return;
                }
                Err(e) => tracing::error!(
                    version = %accepted.version,
                    error = %e,
                    "this release cannot parse the accepted document"
                ),
            }
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
