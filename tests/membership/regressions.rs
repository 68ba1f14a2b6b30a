//! Scenarios in which the fuzz test found a fault.

use crate::{fuzz::run_scenario, op::Op};

/// Guards against a watcher that keeps publishing an upstream after another upstream has started at
/// its address.
#[test]
fn a_displaced_upstream_is_published_as_gone() {
    let ops = vec![
        Op::ReplaceAtAddress(12984757093583866538),
        Op::LeaveGuard(207559219218729868),
        Op::KillGuard(1800781878399304019),
        Op::KillGuard(7632184501597083852),
        Op::LeaveGuard(16829989301512751657),
        Op::StartEntry(6187326884625030754, true),
    ];
    insta::assert_debug_snapshot!(run_scenario(0, ops));
}

/// Guards against the same fault during a partition, so that the other region is notified late.
#[test]
fn a_displaced_upstream_is_gone_after_a_partition() {
    let ops = vec![
        Op::KillGuard(0),
        Op::Partition(true),
        Op::KillGuard(351615171),
        Op::KillGuard(784656591052122308),
        Op::KillGuard(11606293663288385523),
        Op::ReplaceAtAddress(16977550973845288619),
        Op::PauseEntry(17301324749060437328, 13309),
        Op::LeaveGuard(15959932012454661115),
    ];
    insta::assert_debug_snapshot!(run_scenario(0, ops));
}

/// Guards against late rows of a paused publisher that are applied after newer ones.
#[test]
fn a_late_delta_changes_nothing() {
    let ops = vec![
        Op::PauseEntry(10540415425970940204, 5659),
        Op::PauseEntry(14781753981622037755, 8598),
        Op::KillEntry(6235334113065733979),
    ];
    insta::assert_debug_snapshot!(run_scenario(0, ops));
}
