//! The clock trait.

use {
    derive_more::{Add, AddAssign, Display, Sub},
    futures_util::{
        future::{Either, LocalBoxFuture, select},
        pin_mut,
    },
    serde::{Deserialize, Serialize},
    std::{future::Future, time::Duration},
};

/// A point in time of one process, in milliseconds since the clock's start, or a span of time.
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
    /// Returns the time since `earlier`, or zero when that is later.
    pub fn since(
        self,
        earlier: Self,
    ) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX / 2))
    }
}

/// A source of time.
pub trait Clock {
    /// Returns the present time. It never goes back.
    fn now(&self) -> Millis;

    /// Returns the time of day in milliseconds since the Unix epoch, for records and people.
    fn wall_time(&self) -> Millis;

    /// Waits for a span of time.
    fn sleep(
        &self,
        span: Duration,
    ) -> LocalBoxFuture<'static, ()>;
}

/// Waits for `future`, but for `span` at most; `None` when the time is over first.
pub async fn with_timeout<F>(
    clock: &dyn Clock,
    span: Duration,
    future: F,
) -> Option<F::Output>
where
    F: Future,
{
    let sleep = clock.sleep(span);
    pin_mut!(future);
    match select(future, sleep).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}
