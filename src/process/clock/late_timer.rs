//! Timers that show when the process did not run for some time.

use {super::Clock, crate::prelude::*};

/// The shortest delay of a timer that is logged. Timers of a busy machine are late by less.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(400);

/// Sleeps for `duration`, and logs if the process runs much later. It was then stopped or had no
/// processor, and handles timers and messages from before all at once.
pub async fn sleep_logging_delay(
    clock: &dyn Clock,
    duration: Duration,
) {
    let due_at = clock.now() + duration.into();
    clock.sleep(duration).await;
    let delay = clock.now().since(due_at);
    if delay >= MIN_LOGGED_DELAY {
        let delay_ms = Millis::from(delay).0;
        tracing::warn!(delay_ms, "the process did not run for some time");
    }
}
