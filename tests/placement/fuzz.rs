//! Seeds and numbers of cases of the randomized tests.

use {
    proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    std::env,
};

/// The environment variable that sets the seed.
const SEED_VARIABLE: &str = "LIMPETQUAY_FUZZ_SEED";

/// The environment variable that sets the factor by which the number of cases is multiplied.
const FACTOR_VARIABLE: &str = "LIMPETQUAY_FUZZ_FACTOR";

/// Returns a runner with a fixed seed and the given number of cases, or with the seed and the factor
/// that the environment sets.
pub fn runner(cases: u32) -> TestRunner {
    let seed = read(SEED_VARIABLE).unwrap_or(1);
    let factor = read(FACTOR_VARIABLE).unwrap_or(1);
    let config = Config {
        cases: cases * factor as u32,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn read(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}
