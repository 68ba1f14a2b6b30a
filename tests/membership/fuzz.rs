//! Random fault scenarios, checked against a simple oracle.
//!
//! `LIMPETQUAY_FUZZ_CASES` and `LIMPETQUAY_FUZZ_SEED` set the number of scenarios and the seed.

use {
    crate::{
        op::{Op, ops},
        scenario::Scenario,
    },
    limpetquay::process::clock::VirtualClock,
    proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner},
    std::env,
};

/// The number of scenarios of a run in CI.
const DEFAULT_CASES: u32 = 24;

/// The maximum number of steps of a scenario.
const MAX_STEPS: usize = 30;

fn env_number(
    name: &str,
    default: u64,
) -> u64 {
    let value = env::var(name).ok().and_then(|v| v.parse().ok());
    value.unwrap_or(default)
}

fn seeded(
    seed: u64,
    cases: u32,
) -> TestRunner {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    TestRunner::new_with_rng(config, rng)
}

/// Runs a scenario and returns the first violation that the oracle found.
pub fn run_scenario(
    seed: u64,
    ops: Vec<Op>,
) -> Result<(), String> {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    clock.block_on(async move { Scenario::new(cx, seed).run(ops).await })
}

/// Under random faults the tables of all entries satisfy the oracle and converge to the actual
/// state.
#[test]
fn tables_converge_to_the_actual_state() {
    let cases = env_number("LIMPETQUAY_FUZZ_CASES", u64::from(DEFAULT_CASES));
    let seed = env_number("LIMPETQUAY_FUZZ_SEED", 1);
    let mut runner = seeded(seed, cases as u32);
    let strategy = (proptest::num::u64::ANY, ops(MAX_STEPS));
    let result = runner.run(&strategy, |(seed, ops)| {
        run_scenario(seed, ops).map_err(TestCaseError::fail)
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
