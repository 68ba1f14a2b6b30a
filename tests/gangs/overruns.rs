//! Tests of the limits on tasks that exceed what their job declares.

use limpetquay::{prelude::*, process::guard::OverrunMonitor};

/// A task is throttled at 10 times its declared run time and stopped at 20 times. A task that uses
/// more than its accelerators is throttled after 30 s and stopped after 60 s; usage within its
/// accelerators restarts the count.
#[test]
fn a_task_is_throttled_and_then_stopped() {
    let long_run = OverrunMonitor::new(Millis(0), 1000);
    let times = [9_999, 10_000, 15_000, 20_000].map(|ms| (ms, long_run.check(Millis(ms), 100)));
    let overuse = OverrunMonitor::new(Millis(0), 1_000_000);
    let usages = [
        (0, 150),
        (29_000, 150),
        (30_000, 150),
        (45_000, 90),
        (50_000, 150),
    ];
    let usages = usages.map(|(ms, usage)| (ms, usage, overuse.check(Millis(ms), usage)));
    let stopped = overuse.check(Millis(110_000), 150);
    insta::assert_debug_snapshot!((times, usages, stopped));
}
