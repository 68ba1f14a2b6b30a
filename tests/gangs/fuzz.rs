//! Fuzz test: random sequences of steps with faults, checked by the oracle.

use {
    super::{
        oracle::Oracle,
        step::{Step, step},
        test_cluster::TestCluster,
    },
    limpetquay::{prelude::*, process::clock::VirtualClock},
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::cell::Cell,
};

/// The number of sequences of a run in CI.
const CASES: u32 = 120;

/// The number of steps of one sequence.
const STEPS: std::ops::Range<usize> = 40..90;

/// How long everything may take to end after the last step, when all faults are repaired, in
/// milliseconds. Pauses and partitions last 25 s at most and late calls 8 s, and an unresponsive
/// leader of a gang counts as lost after 20 s.
const SETTLE_MS: u64 = 180_000;

/// Applies the steps and returns all violations of invariants.
fn run_steps(steps: &[Step]) -> Vec<String> {
    let clock = VirtualClock::new();
    let steps = steps.to_vec();
    clock.clone().block_on(async move {
        let cluster = TestCluster::start(clock, 7).await;
        let oracle = Oracle::start(cluster.clone());
        for (number, step) in (1..).zip(&steps) {
            step.apply(&cluster, &oracle, number).await;
            cluster.sleep(20).await;
            if !oracle.violations().is_empty() {
                return oracle.violations();
            }
        }
        cluster.sleep(26_000).await;
        cluster.net.faults.set(Default::default());
        for job in cluster.jobs() {
            cluster.cancel(0, job);
        }
        cluster.sleep(SETTLE_MS).await;
        oracle.check_results();
        oracle.check_nothing_leaked();
        oracle.violations()
    })
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// No sequence of jobs and faults violates an invariant of the oracle. `LIMPETQUAY_FUZZ_SEED` sets
/// the seed and `LIMPETQUAY_FUZZ_CASES` the number of sequences.
#[test]
fn no_sequence_violates_an_invariant() {
    let seed = env_number("LIMPETQUAY_FUZZ_SEED").unwrap_or(1);
    let cases = env_number("LIMPETQUAY_FUZZ_CASES").map_or(CASES, |c| c as u32);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 150,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let step_count = Rc::new(Cell::new(0));
    let counter = step_count.clone();
    let result = runner.run(&vec(step(), STEPS), move |steps| {
        counter.set(counter.get() + steps.len());
        let violations = run_steps(&steps);
        prop_assert!(violations.is_empty(), "{violations:#?}");
        Ok(())
    });
    println!("seed {seed}: {cases} sequences, {} steps", step_count.get());
    if let Err(e) = result {
        panic!("seed {seed}: {e}");
    }
}
