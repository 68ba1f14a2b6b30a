//! How far a topic is known to reach, beyond what has been read of it.

use {event_listener::Event, std::cell::Cell};

/// The ends of a topic that are known from answers to appends and from hints of other entries.
pub(super) struct KnownEnd {
    /// The highest noted offset up to which the topic holds records. A hint may be wrong.
    noted: Cell<u64>,
    /// The highest offset up to which this process itself has stored records.
    stored: Cell<u64>,
    changed: Event,
}

impl KnownEnd {
    /// Creates an end of which nothing is known.
    pub(super) fn new() -> Self {
        Self {
            noted: Cell::default(),
            stored: Cell::default(),
            changed: Event::new(),
        }
    }

    /// Returns the highest noted end.
    pub(super) fn noted(&self) -> u64 {
        self.noted.get()
    }

    /// Notes that the topic holds records up to `end`.
    pub(super) fn note(
        &self,
        end: u64,
    ) {
        if end > self.noted.get() {
            self.noted.set(end);
            self.changed.notify(usize::MAX);
        }
    }

    /// Notes that this process has stored records up to `end`.
    pub(super) fn note_stored(
        &self,
        end: u64,
    ) {
        self.stored.set(self.stored.get().max(end));
        self.note(end);
        self.changed.notify(usize::MAX);
    }

    /// Replaces the noted end by a lower one at which the topic was seen to end, unless another end
    /// was noted meanwhile.
    pub(super) fn correct(
        &self,
        noted: u64,
        end: u64,
    ) {
        if self.noted.get() == noted {
            self.noted.set(end);
        }
    }

    /// Waits until an end above `end` is noted.
    pub(super) async fn wait_for_noted(
        &self,
        end: u64,
    ) {
        self.wait_for(&self.noted, end).await;
    }

    /// Waits until this process has stored records beyond `end`, and returns the offset after them.
    pub(super) async fn wait_for_stored(
        &self,
        end: u64,
    ) -> u64 {
        self.wait_for(&self.stored, end).await
    }

    async fn wait_for(
        &self,
        offset: &Cell<u64>,
        end: u64,
    ) -> u64 {
        loop {
            let listener = self.changed.listen();
            if offset.get() > end {
                return offset.get();
            }
            listener.await;
        }
    }
}
