//! Throttling and stopping of tasks that exceed what their job declares.

use {crate::prelude::*, std::cell::Cell};

/// A task is throttled when it has run this many times its declared run time.
const THROTTLE_RUN_FACTOR: u64 = 10;

/// A task is stopped when it has run this many times its declared run time.
const MAX_RUN_FACTOR: u64 = 20;

/// The share of processing time that a throttled task gets, in percent.
pub const THROTTLED_PERCENT: u32 = 50;

/// How long a task may use more than its accelerators before it is throttled, and after that until
/// it is stopped; usage is reported with a lag.
const OVERUSE_GRACE: Duration = Duration::from_secs(30);

/// The action to take on a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverrunAction {
    /// The task goes on unchanged.
    None,
    /// Throttle the task.
    Throttle,
    /// Stop the task, for the given reason.
    Stop(&'static str),
}

/// Monitors the run time and usage of one task.
#[derive(Debug)]
pub struct OverrunMonitor {
    started: Millis,
    declared_ms: u64,
    overuse_since: Cell<Option<Millis>>,
    throttled: Cell<bool>,
}

impl OverrunMonitor {
    /// Creates the monitor of a task that starts now and declares a run time of `declared_ms`
    /// milliseconds.
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

    /// Returns the action to take on a running task, given its last reported usage in percent of
    /// its accelerators. [`OverrunAction::Throttle`] is returned once only.
    pub fn check(
        &self,
        now: Millis,
        usage_percent: u32,
    ) -> OverrunAction {
        let run_ms = now.0.saturating_sub(self.started.0);
        if run_ms >= self.declared_ms.saturating_mul(MAX_RUN_FACTOR) {
            return OverrunAction::Stop("it ran 20 times its declared run time");
        }
        let is_long = run_ms >= self.declared_ms.saturating_mul(THROTTLE_RUN_FACTOR);
        let overuse = self.overuse(now, usage_percent);
        if overuse >= OVERUSE_GRACE * 2 {
            return OverrunAction::Stop("it used more than its accelerators though throttled");
        }
        let throttle = is_long || overuse >= OVERUSE_GRACE;
        if throttle && !self.throttled.replace(true) {
            return OverrunAction::Throttle;
        }
        OverrunAction::None
    }

    /// Returns for how long the task has used more than its accelerators.
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
