//! The layout that the log tells of.

use {
    super::{RecordCx, RecordOutcome},
    crate::{prelude::*, version::Layout},
    serde::{Deserialize, Serialize},
};

/// A proposed layout. It is agreed when it follows the layout in force where it stands.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LayoutRecord {
    /// The number of the layout that it follows.
    pub follows: u64,
    /// The document version whose guarantees it lays.
    pub version: VersionNumber,
    /// The layout.
    pub layout: Layout,
}

/// The layout in force.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LayoutFold {
    number: u64,
    version: VersionNumber,
    layout: Rc<Layout>,
}

impl LayoutFold {
    /// Returns the layout's number, counted from 1; 0 before the first one.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the document version whose guarantees are laid.
    pub fn version(&self) -> VersionNumber {
        self.version
    }

    /// Returns the layout.
    pub fn layout(&self) -> &Rc<Layout> {
        &self.layout
    }

    /// Takes a layout over when it follows the one in force, so that of two proposals at once only
    /// the first counts. A layout for an older document than the present one's changes nothing.
    pub fn apply(
        &mut self,
        _cx: &RecordCx,
        record: LayoutRecord,
    ) -> RecordOutcome {
        if record.follows != self.number || record.version < self.version {
            return RecordOutcome::Stale;
        }
        self.number += 1;
        self.version = record.version;
        self.layout = Rc::new(record.layout);
        RecordOutcome::Applied
    }
}
