//! The steps of a scenario.

use proptest::prelude::*;

/// One step of a scenario. An index selects one of the existing guards or entries.
#[derive(Clone, Debug)]
pub enum Op {
    Wait(u64),
    KillGuard(usize),
    LeaveGuard(usize),
    StartGuard(usize),
    /// Kills a guard and starts another upstream at its address.
    ReplaceAtAddress(usize),
    Drain(usize, bool),
    Load(usize, u32),
    KillEntry(usize),
    LeaveEntry(usize),
    StartEntry(usize, bool),
    Partition(bool),
    PauseGuard(usize, u64),
    PauseEntry(usize, u64),
    BreakPath(usize, usize),
    SetConditions(u32, u32, u64),
}

/// Returns a strategy for scenarios of up to `steps` steps.
pub fn ops(steps: usize) -> impl Strategy<Value = Vec<Op>> {
    let pick = 0..usize::MAX;
    let op = prop_oneof![
        6 => (100..9000u64).prop_map(Op::Wait),
        3 => pick.clone().prop_map(Op::KillGuard),
        2 => pick.clone().prop_map(Op::LeaveGuard),
        4 => pick.clone().prop_map(Op::StartGuard),
        1 => pick.clone().prop_map(Op::ReplaceAtAddress),
        2 => (pick.clone(), any::<bool>()).prop_map(|(g, on)| Op::Drain(g, on)),
        2 => (pick.clone(), 0..9u32).prop_map(|(g, n)| Op::Load(g, n)),
        1 => pick.clone().prop_map(Op::KillEntry),
        1 => pick.clone().prop_map(Op::LeaveEntry),
        2 => (pick.clone(), any::<bool>()).prop_map(|(e, moved)| Op::StartEntry(e, moved)),
        1 => any::<bool>().prop_map(Op::Partition),
        1 => (pick.clone(), 500..15_000u64).prop_map(|(g, ms)| Op::PauseGuard(g, ms)),
        1 => (pick.clone(), 500..15_000u64).prop_map(|(e, ms)| Op::PauseEntry(e, ms)),
        1 => (pick.clone(), pick).prop_map(|(g, e)| Op::BreakPath(g, e)),
        1 => (0..16u32, 0..10u32, 0..200u64).prop_map(|(l, d, ms)| Op::SetConditions(l, d, ms)),
    ];
    prop::collection::vec(op, 1..=steps)
}
