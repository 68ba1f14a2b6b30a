//! The steps of the fuzz test.

use {
    super::{
        fake_net::Faults,
        fake_worker::Health,
        oracle::Oracle,
        test_cluster::{ENTRY_COUNT, TestCluster, WORKER_COUNT},
    },
    compio::runtime::spawn,
    limpetquay::{
        connection::{
            EvictionMode, GangId, GangReply, GangWork, GuaranteedShare, GuardReply, ReserveCall,
        },
        prelude::*,
        process::platform::Term,
    },
    proptest::prelude::*,
};

/// The accounts that submit jobs; the account `owner` has guaranteed shares and only probes them.
const ACCOUNTS: [&str; 2] = ["alba", "bruno"];

const KINDS: [&str; 6] = ["single", "pair", "spread", "stopped", "wide", "fixed"];

/// One step of a sequence: a caller's request, an operator's change or a fault.
#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        entry: usize,
        account: usize,
        kind: usize,
        run_ms: u64,
        fails: bool,
    },
    Cancel {
        entry: usize,
        job: usize,
    },
    CancelAll,
    PauseGuard {
        site: usize,
        ms: u64,
    },
    RestartGuard {
        site: usize,
        after_ms: u64,
    },
    LoseInstance {
        site: usize,
        after_ms: u64,
    },
    SetHealth {
        site: usize,
        health: Health,
        ms: u64,
    },
    PauseEntry {
        entry: usize,
        ms: u64,
    },
    RestartEntry {
        entry: usize,
    },
    TakeOver {
        entry: usize,
        job: usize,
    },
    PartitionEntry {
        entry: usize,
        site: usize,
        ms: u64,
    },
    PartitionGuards {
        a: usize,
        b: usize,
        ms: u64,
    },
    LogOutage {
        ms: u64,
    },
    Layout {
        variant: usize,
    },
    Network(Faults),
    Probe {
        site: usize,
    },
    Wait {
        ms: u64,
    },
}

/// Returns the strategy that generates steps.
pub fn step() -> impl Strategy<Value = Step> {
    let site = 0..WORKER_COUNT;
    let entry = 0..ENTRY_COUNT;
    let ms = 500..25_000u64;
    prop_oneof![
        16 => (entry.clone(), 0..2usize, 0..KINDS.len(), 500..40_000u64, 0..10u32).prop_map(
            |(entry, account, kind, run_ms, fails)| Step::Submit {
                entry, account, kind, run_ms, fails: fails == 0,
            }
        ),
        3 => (entry.clone(), 0..64usize).prop_map(|(entry, job)| Step::Cancel { entry, job }),
        1 => Just(Step::CancelAll),
        3 => (site.clone(), ms.clone()).prop_map(|(site, ms)| Step::PauseGuard { site, ms }),
        2 => (site.clone(), ms.clone())
            .prop_map(|(site, after_ms)| Step::RestartGuard { site, after_ms }),
        1 => (site.clone(), ms.clone())
            .prop_map(|(site, after_ms)| Step::LoseInstance { site, after_ms }),
        2 => (site.clone(), health(), ms.clone())
            .prop_map(|(site, health, ms)| Step::SetHealth { site, health, ms }),
        1 => (entry.clone(), ms.clone()).prop_map(|(entry, ms)| Step::PauseEntry { entry, ms }),
        1 => entry.clone().prop_map(|entry| Step::RestartEntry { entry }),
        1 => (entry.clone(), 0..64usize).prop_map(|(entry, job)| Step::TakeOver { entry, job }),
        1 => (entry, site.clone(), ms.clone())
            .prop_map(|(entry, site, ms)| Step::PartitionEntry { entry, site, ms }),
        2 => (site.clone(), site.clone(), ms.clone())
            .prop_map(|(a, b, ms)| Step::PartitionGuards { a, b, ms }),
        1 => ms.prop_map(|ms| Step::LogOutage { ms }),
        2 => (0..4usize).prop_map(|variant| Step::Layout { variant }),
        2 => (0..6u32, 0..10u32, 0..6u32)
            .prop_map(|(lost, doubled, late)| Step::Network(Faults {
                drop_percent: lost,
                duplicate_percent: doubled,
                delay_percent: late,
            })),
        4 => site.prop_map(|site| Step::Probe { site }),
        8 => (50..6_000u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

fn health() -> impl Strategy<Value = Health> {
    prop_oneof![
        Just(Health::SlowCheckpoints),
        Just(Health::RefusesStarts),
        Just(Health::FailsTasks),
        Just(Health::Unresponsive),
    ]
}

impl Step {
    /// Applies the step to the cluster; `number` is its position in the sequence, counted from 1.
    pub async fn apply(
        &self,
        cluster: &Rc<TestCluster>,
        oracle: &Rc<Oracle>,
        number: u64,
    ) {
        match *self {
            Self::Submit {
                entry,
                account,
                kind,
                run_ms,
                fails,
            } => {
                let payload = if fails {
                    "fail".to_owned()
                } else {
                    format!("run_ms={run_ms}")
                };
                cluster.submit(entry, ACCOUNTS[account], KINDS[kind], &payload);
            }
            Self::Cancel { entry, job } => {
                if let Some(job) = pick(&cluster.jobs(), job) {
                    cluster.cancel(entry, job);
                }
            }
            Self::CancelAll => cluster
                .jobs()
                .into_iter()
                .for_each(|j| cluster.cancel(0, j)),
            Self::PauseEntry { entry, ms } => {
                let node = cluster.entries.borrow()[entry].node.clone();
                node.set_paused(true);
                run_later(cluster, ms, move |_| node.set_paused(false));
            }
            Self::RestartEntry { entry } => cluster.restart_entry(entry),
            Self::TakeOver { entry, job } => {
                if let Some(job) = pick(&cluster.jobs(), job) {
                    cluster.take_over(entry, job);
                }
            }
            Self::LogOutage { ms } => {
                cluster.log.is_unavailable.set(true);
                cluster.log.drops_answers.set(ms % 2 == 0);
                run_later(cluster, ms, |cluster| cluster.log.is_unavailable.set(false));
            }
            Self::Layout { variant } => cluster.set_layout(layout(variant)),
            Self::Network(faults) => cluster.net.faults.set(faults),
            Self::Probe { site } => {
                let oracle = oracle.clone();
                spawn(async move { oracle.probe_share(site, number).await }).detach();
            }
            Self::Wait { ms } => cluster.sleep(ms).await,
            Self::PauseGuard { .. }
            | Self::RestartGuard { .. }
            | Self::LoseInstance { .. }
            | Self::SetHealth { .. }
            | Self::PartitionEntry { .. }
            | Self::PartitionGuards { .. } => self.inject_fault(cluster),
        }
    }

    /// Injects a fault into an instance or a link, and repairs it later.
    fn inject_fault(
        &self,
        cluster: &Rc<TestCluster>,
    ) {
        match *self {
            Self::PauseGuard { site, ms } => pause_guard(cluster, site, ms),
            Self::RestartGuard { site, after_ms } => kill_guard(cluster, site, after_ms),
            Self::LoseInstance { site, after_ms } => {
                cluster.sites[site].worker.lose_instance();
                kill_guard(cluster, site, after_ms);
            }
            Self::SetHealth { site, health, ms } => {
                cluster.sites[site].worker.set_health(health);
                run_later(cluster, ms, move |cluster| {
                    cluster.sites[site].worker.set_health(Health::Healthy);
                });
            }
            Self::PartitionEntry { entry, site, ms } => {
                let entry = cluster.entries.borrow()[entry].address;
                partition(cluster, (entry, cluster.sites[site].address), ms);
            }
            Self::PartitionGuards { a, b, ms } => {
                partition(
                    cluster,
                    (cluster.sites[a].address, cluster.sites[b].address),
                    ms,
                );
            }
            _ => {}
        }
    }
}

/// Runs an action on the cluster after `ms` milliseconds.
fn run_later<F>(
    cluster: &Rc<TestCluster>,
    ms: u64,
    action: F,
) where
    F: FnOnce(&TestCluster) + 'static,
{
    let cluster = cluster.clone();
    spawn(async move {
        cluster.sleep(ms).await;
        action(&cluster);
    })
    .detach();
}

fn partition(
    cluster: &Rc<TestCluster>,
    pair: (SocketAddr, SocketAddr),
    ms: u64,
) {
    cluster.net.set_partitioned(pair, true);
    run_later(cluster, ms, move |cluster| {
        cluster.net.set_partitioned(pair, false);
    });
}

fn pause_guard(
    cluster: &Rc<TestCluster>,
    site: usize,
    ms: u64,
) {
    let at = &cluster.sites[site];
    let Some(host) = cluster.net.host(at.address) else {
        return;
    };
    host.node.set_paused(true);
    at.guard_disrupted_at.set(cluster.clock.now());
    run_later(cluster, ms, move |cluster| {
        host.node.set_paused(false);
        cluster.sites[site]
            .guard_disrupted_at
            .set(cluster.clock.now());
    });
}

fn kill_guard(
    cluster: &Rc<TestCluster>,
    site: usize,
    after_ms: u64,
) {
    let at = &cluster.sites[site];
    at.guard_disrupted_at.set(cluster.clock.now());
    let Some(host) = cluster.net.host(at.address).filter(|h| !h.node.is_dead()) else {
        return;
    };
    host.node.kill();
    run_later(cluster, after_ms, move |cluster| cluster.start_guard(site));
}

fn pick(
    jobs: &[JobId],
    number: usize,
) -> Option<JobId> {
    jobs.get(number % jobs.len().max(1)).copied()
}

/// Returns one of four layouts: the guaranteed shares on each worker.
pub fn layout(variant: usize) -> Vec<Vec<GuaranteedShare>> {
    let first = |n| AcceleratorSet::first(n);
    let share = |account: &str, accelerators| GuaranteedShare {
        account: account.into(),
        accelerators,
    };
    let whole = first(4);
    let shares = (0..WORKER_COUNT).map(|site| match (variant, site % 3) {
        (0, _) => vec![],
        (1, 0) | (2, 1) => vec![share("owner", whole)],
        (1, 1) | (3, 0) => vec![
            share("owner", first(2)),
            share("alba", whole.without(first(2))),
        ],
        (2, 0) => vec![share("alba", whole)],
        (2, _) => vec![
            share("owner", first(1)),
            share("bruno", first(3).without(first(1))),
        ],
        (3, _) => vec![share("owner", whole.without(first(2)))],
        _ => vec![share("bruno", first(2))],
    });
    shares.collect()
}

/// Returns the call that reserves `accelerators` accelerators for an account.
pub fn probe_call(
    number: u64,
    account: &AccountName,
    accelerators: u32,
) -> ReserveCall {
    ReserveCall {
        gang: GangId {
            job: JobId(number),
            term: Term {
                ownership: 1,
                start: 1,
            },
        },
        account: account.clone(),
        members: vec![0],
        accelerators_per_member: accelerators,
        eviction: EvictionMode::Never,
        lifetime_ms: 5000,
        work: GangWork {
            kind: "probe".into(),
            payload: Bytes::new(),
            progress_ms: 0,
            declared_run_ms: 1000,
        },
    }
}

/// Returns the accelerators that a reply reserves.
pub fn reserved(reply: &GuardReply) -> AcceleratorSet {
    match reply {
        GuardReply::Gang(GangReply::Reserved { accelerators }) => *accelerators,
        _ => AcceleratorSet::empty(),
    }
}
