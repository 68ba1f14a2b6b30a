//! What is done about a task that exceeds what its job declares.

use {crate::prelude::*, std::cell::Cell};

/// How many times its declared run time a task may run at full speed.
const THROTTLE_RUN_FACTOR: u64 = 10;

/// How many times its declared run time a task may run at all.
const MAX_RUN_FACTOR: u64 = 20;

/// The share of its processing that a throttled task gets, in percent.
pub const THROTTLED_PERCENT: u32 = 50;

/// How long a task may use more than its accelerators before it is throttled, and again before it
/// is stopped; usage is reported with a lag.
const OVERUSE_GRACE: Duration = Duration::from_secs(30);

/// What has to be done about a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverrunAction {
    /// Nothing.
    None,
    /// The task is to be throttled.
    Throttle,
    /// The task is to be stopped, for the given reason.
    Stop(&'static str),
}

/// Watches one task.
#[derive(Debug)]
pub struct OverrunMonitor {
    started: Millis,
    declared_ms: u64,
    overuse_since: Cell<Option<Millis>>,
    throttled: Cell<bool>,
}

impl OverrunMonitor {
    /// Creates the watch of a task that starts now.
    pub fn new(
        now: Millis,
        declared_ms: u64,
    ) -> Self {
        Self {
            started: now,
            declared_ms,
            overuse_since: Cell::new(None),
            throttled: Cell::new(false),
        }
    }

    /// Judges a running task by its last reported usage, in percent of its accelerators.
    pub fn check(
        &self,
        now: Millis,
        usage_percent: u32,
    ) -> OverrunAction {
        let run_ms = now.0.saturating_sub(self.started.0);
        if run_ms >= self.declared_ms.saturating_mul(MAX_RUN_FACTOR) {
            return OverrunAction::Stop("it ran 20 times its declared run time");
        }
        let long = run_ms >= self.declared_ms.saturating_mul(THROTTLE_RUN_FACTOR);
        let overuse = self.overuse(now, usage_percent);
        if overuse >= OVERUSE_GRACE * 2 {
            return OverrunAction::Stop("it used more than its accelerators though throttled");
        }
        let throttle = long || overuse >= OVERUSE_GRACE;
        if throttle && !self.throttled.replace(true) {
            return OverrunAction::Throttle;
        }
        OverrunAction::None
    }

    /// Returns for how long the task has used more than it holds.
    fn overuse(
        &self,
        now: Millis,
        usage_percent: u32,
    ) -> Duration {
        if usage_percent <= 100 {
            self.overuse_since.set(None);
            return Duration::ZERO;
        }
        let since = self.overuse_since.get().unwrap_or(now);
        self.overuse_since.set(Some(since));
        now.since(since)
    }
}
