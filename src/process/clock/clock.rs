//! The trait for sources of time, and timeouts based on it.

use {
    derive_more::{Add, AddAssign, Display, Sub},
    futures_util::{
        future::{Either, LocalBoxFuture, select},
        pin_mut,
    },
    serde::{Deserialize, Serialize},
    std::{future::Future, time::Duration},
};

/// A time in milliseconds: a point on the clock of one process, counted from the clock's start; a
/// Unix time; or a duration.
#[derive(
    Add,
    AddAssign,
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Sub,
)]
#[display("{_0}ms")]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later.
    pub fn since(
        self,
        earlier: Self,
    ) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX / 2))
    }
}

/// A source of time.
pub trait Clock {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Millis;

    /// Returns the wall-clock time in milliseconds since the Unix epoch, for records and display.
    fn wall_time(&self) -> Millis;

    /// Returns a future that completes after `duration`.
    fn sleep(
        &self,
        duration: Duration,
    ) -> LocalBoxFuture<'static, ()>;
}

/// Returns the output of `future`, or `None` when it does not complete within `timeout`.
pub async fn with_timeout<F>(
    clock: &dyn Clock,
    timeout: Duration,
    future: F,
) -> Option<F::Output>
where
    F: Future,
{
    let sleep = clock.sleep(timeout);
    pin_mut!(future);
    match select(future, sleep).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
