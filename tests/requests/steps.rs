//! The steps of a fuzzed scenario.

use {
    super::{
        fakes::{LogMode, WorkerMode},
        network::Fault,
    },
    proptest::prelude::*,
};

/// One step of a scenario.
#[derive(Clone, Debug)]
pub enum Step {
    /// Callers send `count` requests, which have the same content if they have a key.
    Send {
        entry: usize,
        account: usize,
        kind: usize,
        key: Option<u8>,
        content: u8,
        count: u8,
    },
    Fault {
        upstream: usize,
        fault: Fault,
        count: u8,
    },
    Worker {
        upstream: usize,
        mode: WorkerMode,
    },
    KillGuard(usize),
    StartGuard(usize),
    ReplaceEntry(usize),
    Log(LogMode),
    Wait(u64),
}

pub const ACCOUNTS: [&str; 2] = ["alpha", "beta"];
pub const KINDS: [&str; 3] = ["check", "sweep", "night"];
pub const UPSTREAM_COUNT: usize = 3;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::NotSent),
        Just(Fault::LoseRequest),
        Just(Fault::LoseReply),
        (0_u64..4000).prop_map(Fault::DuplicateRequest),
        (0_u64..6000).prop_map(Fault::DelayRequest),
        Just(Fault::MismatchReply),
    ]
}

fn worker_mode() -> impl Strategy<Value = WorkerMode> {
    prop_oneof![
        3 => Just(WorkerMode::Healthy),
        1 => Just(WorkerMode::Unreachable),
        1 => Just(WorkerMode::LosesAnswers),
        1 => Just(WorkerMode::Fails),
        1 => Just(WorkerMode::Slow),
        1 => Just(WorkerMode::MismatchedId),
    ]
}

fn log_mode() -> impl Strategy<Value = LogMode> {
    prop_oneof![
        3 => Just(LogMode::Up),
        1 => Just(LogMode::Down),
        1 => Just(LogMode::LosesAnswers),
        1 => Just(LogMode::Slow),
    ]
}

fn send() -> impl Strategy<Value = Step> {
    let key = prop_oneof![Just(None), (0_u8..4).prop_map(Some)];
    (0..2_usize, 0..2_usize, 0..3_usize, key, 0_u8..3, 1_u8..20).prop_map(
        |(entry, account, kind, key, content, count)| Step::Send {
            entry,
            account,
            kind,
            key,
            content,
            count,
        },
    )
}

/// Returns the strategy that generates one step.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => send(),
        6 => (0..UPSTREAM_COUNT, fault(), 1_u8..6)
            .prop_map(|(upstream, fault, count)| Step::Fault { upstream, fault, count }),
        3 => (0..UPSTREAM_COUNT, worker_mode()).prop_map(|(upstream, mode)| Step::Worker { upstream, mode }),
        1 => (0..UPSTREAM_COUNT).prop_map(Step::KillGuard),
        2 => (0..UPSTREAM_COUNT).prop_map(Step::StartGuard),
        1 => (0..2_usize).prop_map(Step::ReplaceEntry),
        2 => log_mode().prop_map(Step::Log),
        8 => (0_u64..1500).prop_map(Step::Wait),
    ]
}
