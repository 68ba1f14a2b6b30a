//! Randomised runs of readers and writers over a log with faults.

use {
    super::{
        fake_log::AppendFault,
        test_cluster::{NODES, Step, TestCluster},
    },
    limpetquay::{prelude::*, process::clock::VirtualClock},
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::env,
};

/// Number of random runs unless the environment sets another.
const DEFAULT_RUNS: u32 = 150;

/// Number of steps in one run.
const STEPS_PER_RUN: usize = 60;

fn step() -> impl Strategy<Value = Step> {
    let node = || 0..NODES;
    let job = || 0..8_usize;
    prop_oneof![
        4 => (node(), any::<bool>()).prop_map(|(node, stale)| Step::Submit { node, stale }),
        4 => node().prop_map(|node| Step::Accept { node }),
        2 => (node(), job()).prop_map(|(node, job)| Step::Cancel { node, job }),
        3 => (node(), job()).prop_map(|(node, job)| Step::End { node, job }),
        3 => (node(), job()).prop_map(|(node, job)| Step::TakeOver { node, job }),
        8 => prop_oneof![1..300_u64, 300..8000_u64].prop_map(|ms| Step::Wait { ms }),
        1 => any::<bool>().prop_map(|is_down| Step::Down { is_down }),
        1 => prop_oneof![Just(0), 1..4000_u64].prop_map(|ms| Step::Slow { ms }),
        4 => fault().prop_map(Step::Fault),
        2 => node().prop_map(|node| Step::Snapshot { node }),
        2 => Just(Step::Expire),
        2 => (node(), any::<bool>())
            .prop_map(|(node, is_partitioned)| Step::Partition { node, is_partitioned }),
        2 => (node(), any::<bool>())
            .prop_map(|(node, with_peers)| Step::Restart { node, with_peers }),
    ]
}

fn fault() -> impl Strategy<Value = AppendFault> {
    prop_oneof![
        Just(AppendFault::AnswerDropped),
        Just(AppendFault::RequestDropped),
        (1..20_000_u64).prop_map(AppendFault::Delayed),
        Just(AppendFault::Duplicated),
    ]
}

/// Runs steps and returns the number of calls by result: applied, conflict, stale, not recorded,
/// unknown.
pub fn run_steps(steps: Vec<Step>) -> [usize; 5] {
    let clock = VirtualClock::new();
    let shared: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let cluster = TestCluster::new(shared);
        for step in &steps {
            cluster.step(step).await;
        }
        count_results(&cluster.settle().await)
    })
}

fn count_results(results: &[super::test_cluster::CallResult]) -> [usize; 5] {
    use limpetquay::process::state::{RecordOutcome, StateError};
    let mut counts = [0; 5];
    for call in results {
        let index = match call.result {
            Ok(RecordOutcome::Applied | RecordOutcome::Accepted(_)) => 0,
            Ok(RecordOutcome::Conflict(_)) => 1,
            Ok(RecordOutcome::Stale) => 2,
            Err(StateError::NotRecorded) => 3,
            Err(StateError::Unknown) => 4,
        };
        counts[index] += 1;
    }
    counts
}

fn env_number(
    name: &str,
    default: u64,
) -> u64 {
    let value = env::var(name).ok();
    value.and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Under random faults every entry has exactly the state that the log yields at its offset, no
/// accepted version or job is lost, and no caller gets a false result.
#[test]
fn readers_agree_under_faults() {
    let seed = env_number("LIMPETQUAY_FUZZ_SEED", 6);
    let runs = env_number("LIMPETQUAY_FUZZ_RUNS", DEFAULT_RUNS.into());
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: runs as u32,
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let totals = Rc::new(RefCell::new([0; 5]));
    let sums = totals.clone();
    let result = runner.run(&vec(step(), STEPS_PER_RUN), move |steps| {
        let counts = run_steps(steps);
        for (sum, count) in sums.borrow_mut().iter_mut().zip(counts) {
            *sum += count;
        }
        Ok(())
    });
    if let Err(e) = result {
        panic!("seed {seed}: {e}");
    }
    println!(
        "applied, conflict, stale, not recorded, unknown: {:?}",
        totals.borrow()
    );
    assert!(
        totals.borrow().iter().all(|n| *n > 0),
        "not every outcome occurs: {:?}",
        totals.borrow()
    );
}
