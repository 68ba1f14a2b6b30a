//! What a seed plays: the terms of a deployment, the work of its callers and what its workers do
//! with calls.

use {
    super::node::Terms,
    limpetquay::{platform::stand_in::LateCalls, prelude::*},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cell::RefCell,
        sync::atomic::{AtomicBool, Ordering},
        thread::JoinHandle,
    },
};

/// Seeds below this one play a small deployment without late calls and busy processors.
const FIRST_SITE_SEED: u64 = 1000;

/// From this seed on, successors of workers start before the worker has ended, which the platform
/// does not describe.
const FIRST_OVERLAP_SEED: u64 = 2000;

/// Separates the draw of a scenario from that of its faults, which use the same seed.
const SCENARIO_STREAM: u64 = 0x5ce4_a110;

/// The work that callers submit.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Whether jobs are as long and wide as on the deployments of the users.
    pub is_site: bool,
    /// The pause of a caller between two jobs, in milliseconds.
    pub pause_ms: [u64; 2],
}

/// What a seed plays.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub terms: Terms,
    pub entries: u8,
    pub guards: u8,
    pub workload: Workload,
    /// The share of starts and stops that are carried out late, in percent.
    pub late_orders_percent: u32,
    /// The share of polls that are carried out late, in percent.
    pub late_polls_percent: u32,
    /// Whether the successor of a worker may start before the worker has ended.
    pub overlaps_workers: bool,
    /// The number of threads that use a processor without a pause.
    pub busy_threads: usize,
    /// How long faults are injected.
    pub fault_duration: Duration,
    /// The longest time after the last fault without the end of a run while jobs are open: all
    /// leases, a change of the leader and the longest run, one after the other.
    pub stall_limit: Duration,
}

impl Scenario {
    /// Draws the scenario of a seed.
    pub fn draw(seed: u64) -> Self {
        if seed < FIRST_SITE_SEED {
            let mut rng = StdRng::seed_from_u64(seed);
            return Self {
                seed,
                terms: Terms::SMALL,
                entries: rng.random_range(2..5),
                guards: rng.random_range(3..7),
                workload: Workload {
                    is_site: false,
                    pause_ms: [50, 900],
                },
                late_orders_percent: 0,
                late_polls_percent: 0,
                overlaps_workers: false,
                busy_threads: 0,
                fault_duration: Duration::from_secs(15),
                stall_limit: Duration::from_secs(15),
            };
        }
        let mut rng = StdRng::seed_from_u64(seed ^ SCENARIO_STREAM);
        let rng = &mut rng;
        let (max_lease_ms, stop_ms, entries, guards) = match rng.random_range(0..6) {
            0..=2 => (10_000, 900, 3, 11),
            3 => (6000, 200, rng.random_range(3..6), rng.random_range(8..14)),
            4 => (6000, 400, 3, rng.random_range(5..9)),
            _ => (3000, 100, rng.random_range(2..5), rng.random_range(3..7)),
        };
        let heartbeat_ms = if max_lease_ms > 3000 { 1500 } else { 300 };
        Self {
            seed,
            terms: Terms {
                max_lease_ms,
                stop_ms,
                heartbeat_interval: Duration::from_millis(heartbeat_ms),
                ..Terms::SMALL
            },
            entries,
            guards,
            workload: Workload {
                is_site: true,
                pause_ms: [500, 4000],
            },
            late_orders_percent: [0, 5, 10, 20, 30, 50][rng.random_range(0..6)],
            late_polls_percent: [0, 0, 2, 5][rng.random_range(0..4)],
            overlaps_workers: seed >= FIRST_OVERLAP_SEED,
            busy_threads: [0, 0, 6, 12][rng.random_range(0..4)],
            fault_duration: Duration::from_secs(25),
            stall_limit: Duration::from_millis(max_lease_ms + 25_000),
        }
    }
}

/// Carries a share of the calls to a worker out 2 to 12 s late.
pub struct RandomLateCalls {
    rng: RefCell<StdRng>,
    orders_percent: u32,
    polls_percent: u32,
}

impl RandomLateCalls {
    /// Creates the choice for one worker incarnation.
    pub fn new(
        scenario: &Scenario,
        incarnation: u64,
    ) -> Self {
        let seed = scenario.seed ^ (incarnation << 32);
        Self {
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
            orders_percent: scenario.late_orders_percent,
            polls_percent: scenario.late_polls_percent,
        }
    }
}

impl LateCalls for RandomLateCalls {
    fn next_delay(
        &self,
        path: &str,
    ) -> Option<Duration> {
        let percent = match path {
            "/run-start" | "/run-stop" => self.orders_percent,
            _ => self.polls_percent,
        };
        let mut rng = self.rng.borrow_mut();
        let is_late = rng.random_range(0..100) < percent;
        is_late.then(|| Duration::from_millis(rng.random_range(2000..12_000)))
    }
}

/// Threads that use processors until they are dropped, so that the processes wait for one.
pub struct BusyThreads {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyThreads {
    /// Starts `count` threads.
    pub fn start(count: usize) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let threads = (0..count).map(|_| {
            let is_over = is_over.clone();
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    std::hint::black_box((0..100_000_u64).sum::<u64>());
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_over,
        }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a busy thread does not panic");
        }
    }
}
