//! The clock of the machine, for production.

use {
    super::{Clock, Millis},
    futures_util::future::LocalBoxFuture,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The machine's boot-time clock, counted from the creation of this value. It advances while the
/// machine is suspended, so a lease that expires during a suspension is seen as expired.
#[derive(Debug)]
pub struct SystemClock {
    start_since_boot: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start_since_boot: since_boot(),
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
        since_boot().saturating_sub(self.start_since_boot).into()
    }

    fn wall_time(&self) -> Millis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.unwrap_or_default().into()
    }

    fn sleep(
        &self,
        duration: Duration,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(compio::time::sleep(duration))
    }
}
