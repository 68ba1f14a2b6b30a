//! The machine's clock.

use {
    super::{Clock, Millis},
    futures_util::future::LocalBoxFuture,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The machine's clock since its boot, counted from the process's start. It goes on while the
/// machine is suspended, so a lease that lapsed meanwhile is seen to have lapsed.
#[derive(Debug)]
pub struct SystemClock {
    start: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        since_boot().saturating_sub(self.start).into()
    }

    fn wall_time(&self) -> Millis {
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
