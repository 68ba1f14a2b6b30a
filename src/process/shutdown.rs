//! The signal to stop, seen by every task of a process.

use {event_listener::Event, std::cell::Cell};

/// A signal that is given once.
#[derive(Debug, Default)]
pub struct Shutdown {
    started: Cell<bool>,
    event: Event,
}

impl Shutdown {
    /// Gives the signal.
    pub fn start(&self) {
        self.started.set(true);
        self.event.notify(usize::MAX);
    }

    /// Waits until the signal is given.
    pub async fn wait(&self) {
        loop {
            let listener = self.event.listen();
            if self.started.get() {
                return;
            }
            listener.await;
        }
    }
}
