//! The signal to stop, seen by every task of a process.

use {event_listener::Event, std::cell::Cell};

/// A signal that is given once.
#[derive(Debug, Default)]
pub struct Shutdown {
    is_triggered: Cell<bool>,
    event: Event,
}

impl Shutdown {
    /// Gives the signal.
    pub fn trigger(&self) {
        self.is_triggered.set(true);
        self.event.notify(usize::MAX);
    }

    /// Waits until the signal is given.
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
