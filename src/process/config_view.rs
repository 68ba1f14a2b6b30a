//! The configuration in force, as this process has read it.

use {
    crate::{prelude::*, version::QueueTable},
    std::cell::Cell,
};

/// The time within which a confirmed version is in force, where the settings give none.
pub const DEFAULT_CONFIG_APPLY_TIME: Duration = Duration::from_millis(2500);

/// The queues, accounts and limits of the configuration in force, once one is known, and their age.
#[derive(Debug)]
pub struct ConfigView {
    /// The time within which a confirmed version is in force.
    apply_time: Duration,
    table: RefCell<Option<Rc<QueueTable>>>,
    /// When the last read was sent that the store has answered up to the end of the topic; `None`
    /// before the first complete one.
    read_at: Cell<Option<Millis>>,
}

impl ConfigView {
    /// Creates a view of which nothing is known yet. `apply_time` is the time within which a confirmed
    /// version is in force.
    pub fn new(apply_time: Duration) -> Self {
        Self {
            apply_time,
            table: RefCell::default(),
            read_at: Cell::default(),
        }
    }

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

    /// Returns whether the view has every version that has to be in force, so that what it lacks is not
    /// configured.
    pub fn is_current(
        &self,
        now: Millis,
    ) -> bool {
        self.age(now).is_some_and(|age| age <= self.apply_time)
    }
}

impl Default for ConfigView {
    fn default() -> Self {
        Self::new(DEFAULT_CONFIG_APPLY_TIME)
    }
}

impl From<QueueTable> for ConfigView {
    fn from(table: QueueTable) -> Self {
        let view = Self::default();
        view.replace(table);
        view
    }
}
