//! How much of an answer has arrived.

use {
    crate::prelude::*,
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::cell::Cell,
};

/// The bytes that have been received of an answer. Whoever waits for it tells a slow answer from a
/// missing one by them: a limit on the whole duration would fail for ever on a link that carries the
/// answer more slowly, while a limit on the silence holds at any speed and size.
#[derive(Debug, Default)]
pub struct Transfer<'a> {
    received: Cell<u64>,
    /// The transfer of which this one is an attempt.
    whole: Option<&'a Transfer<'a>>,
}

impl<'a> Transfer<'a> {
    /// Creates the transfer of one attempt, whose bytes count in `whole` as well.
    pub fn attempt_of(whole: &'a Transfer<'a>) -> Self {
        Self {
            whole: Some(whole),
            ..Self::default()
        }
    }

    /// Returns how many bytes have been received.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Adds bytes that have been received.
    pub fn add(
        &self,
        bytes: usize,
    ) {
        self.received.set(self.received.get() + bytes as u64);
        if let Some(whole) = self.whole {
            whole.add(bytes);
        }
    }

    /// Waits until nothing has been received for `silence`.
    pub async fn wait_for_silence(
        &self,
        clock: &dyn Clock,
        silence: Duration,
    ) {
        loop {
            let before = self.received();
            clock.sleep(silence).await;
            if self.received() == before {
                return;
            }
        }
    }

    /// Returns the output of `future`, or `None` if nothing is received for `first`, or afterwards for
    /// `between`. Silence is noticed within twice its limit.
    pub async fn with_silence_limit<F>(
        &self,
        clock: &dyn Clock,
        first: Duration,
        between: Duration,
        future: F,
    ) -> Option<F::Output>
    where
        F: Future,
    {
        let before = self.received();
        let silence = async {
            clock.sleep(first).await;
            if self.received() > before {
                self.wait_for_silence(clock, between).await;
            }
        };
        pin_mut!(future, silence);
        match select(future, silence).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }
}
