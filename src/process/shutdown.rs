//! The shutdown signal that the tasks of a process wait for.

use {event_listener::Event, std::cell::Cell};

/// A one-time signal to shut down, observed by any number of tasks.
#[derive(Debug, Default)]
pub struct Shutdown {
    is_triggered: Cell<bool>,
    event: Event,
}

impl Shutdown {
    /// Triggers the signal and wakes every task that waits for it.
    pub fn trigger(&self) {
        self.is_triggered.set(true);
        self.event.notify(usize::MAX);
    }

    /// Waits until the signal is triggered; returns at once if it already is.
    pub async fn wait(&self) {
        loop {
            let listener = self.event.listen();
            if self.is_triggered.get() {
                return;
            }
            listener.await;
        }
    }
}
