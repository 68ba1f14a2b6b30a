//! The steps of a fuzzed run.

use {
    super::{
        fakes::{LogMode, WorkerMode},
        network::Fault,
    },
    proptest::prelude::*,
};

/// One step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// Callers send requests with the same content, one after the other.
    Send {
        entry: usize,
        account: usize,
        kind: usize,
        key: Option<u8>,
        content: u8,
        count: u8,
    },
    Fault {
        site: usize,
        fault: Fault,
        count: u8,
    },
    Worker {
        site: usize,
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
pub const SITES: usize = 3;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::NotSent),
        Just(Fault::LoseRequest),
        Just(Fault::LoseReply),
        (0_u64..4000).prop_map(Fault::Double),
        (0_u64..6000).prop_map(Fault::Late),
        Just(Fault::Cross),
    ]
}

fn worker_mode() -> impl Strategy<Value = WorkerMode> {
    prop_oneof![
        3 => Just(WorkerMode::Well),
        1 => Just(WorkerMode::Away),
        1 => Just(WorkerMode::LosesAnswers),
        1 => Just(WorkerMode::Fails),
        1 => Just(WorkerMode::Slow),
        1 => Just(WorkerMode::Crosses),
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

/// Returns the strategy of one step.
pub fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => send(),
        6 => (0..SITES, fault(), 1_u8..6)
            .prop_map(|(site, fault, count)| Step::Fault { site, fault, count }),
        3 => (0..SITES, worker_mode()).prop_map(|(site, mode)| Step::Worker { site, mode }),
        1 => (0..SITES).prop_map(Step::KillGuard),
        2 => (0..SITES).prop_map(Step::StartGuard),
        1 => (0..2_usize).prop_map(Step::ReplaceEntry),
        2 => log_mode().prop_map(Step::Log),
        8 => (0_u64..1500).prop_map(Step::Wait),
    ]
}
