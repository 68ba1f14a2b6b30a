//! Limits the requests that run on an upstream at the same time.

use {
    crate::connection::Refusal,
    event_listener::Event,
    std::{cell::Cell, rc::Rc},
};

/// A pool of request slots; refuses slots above its limit and while draining.
#[derive(Debug)]
pub struct SlotPool {
    limit: u32,
    in_use: Cell<u32>,
    draining: Cell<bool>,
    changed: Rc<Event>,
}

/// One acquired slot; dropping it returns it to the pool.
#[derive(Debug)]
pub struct Slot {
    pool: Rc<SlotPool>,
}

impl SlotPool {
    /// Creates a pool of `limit` slots; `changed` is notified at each change.
    pub fn new(
        limit: u32,
        changed: Rc<Event>,
    ) -> Self {
        Self {
            limit,
            in_use: Cell::new(0),
            draining: Cell::new(false),
            changed,
        }
    }

    /// Acquires a slot.
    ///
    /// # Errors
    /// [`Refusal::NoSlot`] when all are in use, [`Refusal::Draining`] while draining.
    pub fn acquire(self: &Rc<Self>) -> Result<Slot, Refusal> {
        if self.draining.get() {
            return Err(Refusal::Draining);
        }
        if self.in_use.get() >= self.limit {
            return Err(Refusal::NoSlot);
        }
        self.in_use.set(self.in_use.get() + 1);
        self.changed.notify(usize::MAX);
        Ok(Slot { pool: self.clone() })
    }

    /// Starts or stops draining; no slots are handed out while draining.
    pub fn set_draining(
        &self,
        draining: bool,
    ) {
        self.draining.set(draining);
        self.changed.notify(usize::MAX);
    }

    /// Returns whether the pool is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Returns the number of slots.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.in_use.get()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        self.pool.changed.notify(usize::MAX);
    }
}
