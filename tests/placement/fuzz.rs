//! Seeds and lengths of random tests.

use {
    proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    std::env,
};

/// The variable that names another seed.
const SEED_VARIABLE: &str = "LIMPETQUAY_FUZZ_SEED";

/// The variable that names how many times as many cases are run.
const FACTOR_VARIABLE: &str = "LIMPETQUAY_FUZZ_FACTOR";

/// Returns a runner with a fixed seed, or with the seed and length that the variables name.
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
