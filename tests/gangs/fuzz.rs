//! The fuzz: sequences of steps with faults in every run, judged by the oracle.

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

/// The sequences that CI runs.
const CASES: u32 = 120;

/// The steps of one sequence.
const STEPS: std::ops::Range<usize> = 40..90;

/// How long everything is left to end after the last step and the repair of every fault, in
/// milliseconds: pauses and cuts end by themselves after 25 s, late calls after 8 s, silence of a
/// lead guard counts after 20 s.
const QUIET_MS: u64 = 180_000;

/// Takes the steps and returns every broken promise.
fn run_steps(steps: &[Step]) -> Vec<String> {
    let clock = VirtualClock::new();
    let steps = steps.to_vec();
    clock.clone().block_on(async move {
        let world = TestCluster::start(clock, 7).await;
        let oracle = Oracle::start(world.clone());
        for (number, step) in (1..).zip(&steps) {
            step.take(&world, &oracle, number).await;
            world.sleep(20).await;
            if !oracle.violations().is_empty() {
                return oracle.violations();
            }
        }
        world.sleep(26_000).await;
        world.net.faults.set(Default::default());
        for job in world.jobs() {
            world.cancel(0, job);
        }
        world.sleep(QUIET_MS).await;
        oracle.check_results();
        oracle.check_nothing_leaked();
        oracle.violations()
    })
}

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// No promise is broken by any sequence. `LIMPETQUAY_FUZZ_SEED` and `LIMPETQUAY_FUZZ_CASES` make
/// other and longer runs.
#[test]
fn no_sequence_breaks_a_promise() {
    let seed = variable("LIMPETQUAY_FUZZ_SEED").unwrap_or(1);
    let cases = variable("LIMPETQUAY_FUZZ_CASES").map_or(CASES, |c| c as u32);
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
    let taken = Rc::new(Cell::new(0));
    let counted = taken.clone();
    let result = runner.run(&vec(step(), STEPS), move |steps| {
        counted.set(counted.get() + steps.len());
        let violations = run_steps(&steps);
        prop_assert!(violations.is_empty(), "{violations:#?}");
        Ok(())
    });
    println!("seed {seed}: {cases} sequences, {} steps", taken.get());
    if let Err(e) = result {
        panic!("seed {seed}: {e}");
    }
}
