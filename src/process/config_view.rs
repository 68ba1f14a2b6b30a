//! The configuration in force, as this process has read it.

use {
    crate::{prelude::*, version::QueueTable},
    std::cell::Cell,
};

/// The queues, accounts and limits of the configuration in force, once one is known, and their age.
#[derive(Debug, Default)]
pub struct ConfigView {
    table: RefCell<Option<Rc<QueueTable>>>,
    /// When the last read was sent that the store has answered up to the end of the topic; `None`
    /// before the first complete one.
    read_at: Cell<Option<Millis>>,
}

impl ConfigView {
    /// Returns the configuration in force, once one is known.
    pub fn table(&self) -> Option<Rc<QueueTable>> {
        self.table.borrow().clone()
    }

    /// Puts a configuration in force.
    pub fn replace(
        &self,
        table: QueueTable,
    ) {
        *self.table.borrow_mut() = Some(Rc::new(table));
    }

    /// Records that the store has answered a read that was sent at `sent_at`, up to the end of the
    /// topic, so that every version stored before is known.
    pub fn confirm_read(
        &self,
        sent_at: Millis,
    ) {
        self.read_at.set(self.read_at.get().max(Some(sent_at)));
    }

    /// Returns for how long newer versions may have been stored without being known; `None` before
    /// the first complete read.
    pub fn age(
        &self,
        now: Millis,
    ) -> Option<Duration> {
        self.read_at.get().map(|at| now.since(at))
    }
}

impl From<QueueTable> for ConfigView {
    fn from(table: QueueTable) -> Self {
        let view = Self::default();
        view.replace(table);
        view
    }
}
