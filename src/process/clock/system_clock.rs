//! The machine's clock.

use {
    super::{Clock, Millis},
    futures_util::future::LocalBoxFuture,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The machine's monotonic clock, counted from the process's start.
#[derive(Debug)]
pub struct SystemClock {
    start: Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn wall(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.unwrap_or_default().into()
    }

    fn sleep(
        &self,
        span: Duration,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(compio::time::sleep(span))
    }
}
