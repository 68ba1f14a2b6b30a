//! Layout of guaranteed accelerators.

use {
    super::{RecordCx, RecordOutcome},
    crate::{prelude::*, version::Layout},
    serde::{Deserialize, Serialize},
};

/// A proposed layout. It is accepted if it follows the layout that is in force at its position in
/// the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LayoutRecord {
    /// Number of the layout that this one replaces.
    pub follows: u64,
    /// The document version whose guarantees the layout assigns to workers.
    pub version: VersionNumber,
    /// The proposed layout.
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
    /// Returns the number of the layout in force, counted from 1; 0 before the first one.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the document version whose guarantees the layout in force assigns.
    pub fn version(&self) -> VersionNumber {
        self.version
    }

    /// Returns the layout in force.
    pub fn layout(&self) -> &Rc<Layout> {
        &self.layout
    }

    /// Accepts a layout that follows the one in force, so that only the first of two concurrent
    /// proposals takes effect. A layout for an older document version than that of the layout in
    /// force changes nothing.
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
