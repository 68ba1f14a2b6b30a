//! Scenarios with random jobs and faults, checked by the oracle.

use {
    super::world::{Faults, World},
    limpetquay::request::{JobPhase, Resources, Step},
    rand::RngExt,
};

/// The number of scenarios in a test run, unless `LIMPETQUAY_COURSES` sets another number.
const SCENARIOS: u64 = 60;

/// Seeds of scenarios that failed before a fix. 26: a gang that had failed on several workers was
/// never placed again, because the remaining workers could not hold it.
const REGRESSION_SEEDS: [u64; 1] = [26];

fn all_faults() -> Faults {
    Faults {
        session_breaks: 40,
        guard_restarts: 20,
        worker_crashes: 15,
        takeovers: 15,
        partitions: 15,
        pauses: 15,
        store_outages: 15,
        cancels: 20,
        lost_answers: 200,
        late_orders: 200,
        failing_runs: 800,
    }
}

fn random_step(
    world: &mut World,
    index: u16,
) -> Step {
    let accelerators = [1, 1, 2, 4, 8][world.rng.random_range(0..5)];
    Step {
        count: world.rng.random_range(1..5),
        demand: Resources {
            cpu_milli: 15_000,
            memory_mb: 20_000,
            accelerators,
        },
        estimate_ms: 3000,
        after: if index > 0 && world.rng.random_range(0..2) == 0 {
            vec![index - 1]
        } else {
            vec![]
        },
        checkpoints: world.rng.random_range(0..2) == 0,
        gang: world.rng.random_range(0..3) == 0,
        ..Step::default()
    }
}

/// Runs one scenario and returns the failures that were found.
fn run_scenario(
    seed: u64,
    faults: Faults,
) -> Vec<String> {
    let mut world = World::new(seed, 5, faults);
    let mut jobs = Vec::new();
    for _ in 0..12 {
        let steps = (0..world.rng.random_range(1..3))
            .map(|i| random_step(&mut world, i))
            .collect();
        let priority = world.rng.random_range(0..3);
        jobs.push(world.submit(steps, priority, 4));
        let pause = world.rng.random_range(100..3000);
        world.run_for(pause);
    }
    world.settle(120_000);
    world.oracle.check_history();
    let mut failures = std::mem::take(&mut world.oracle.violations);
    for id in jobs {
        let view = world.progress(id);
        let is_consistent = match view.phase() {
            JobPhase::Completed => view.progress.is_done(&view.job),
            JobPhase::Cancelled => view.is_cancelled,
            JobPhase::Failed => view
                .progress
                .failed_runs
                .values()
                .any(|runs| runs.len() >= 4),
            JobPhase::Queued | JobPhase::Running => false,
        };
        if !is_consistent {
            failures.push(format!(
                "{id} ended as {:?} with {:?}; {}",
                view.phase(),
                view.progress,
                world.describe(id)
            ));
        }
    }
    if world.running() > 0 {
        failures.push(format!(
            "{} runs remain although all jobs have ended",
            world.running()
        ));
    }
    let unacknowledged = world.oracle.ends.iter().filter(|e| !e.acknowledged).count();
    if !failures.is_empty() {
        failures.push(format!(
            "{unacknowledged} ends not acknowledged; {}",
            world.log.join("; ")
        ));
    }
    failures
}

#[test]
fn scenarios_with_faults_violate_no_guarantee() {
    let count = std::env::var("LIMPETQUAY_COURSES")
        .ok()
        .and_then(|v| v.parse().ok());
    let first: u64 = std::env::var("LIMPETQUAY_SEED")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(1);
    let seeds = REGRESSION_SEEDS
        .into_iter()
        .chain(first..first + count.unwrap_or(SCENARIOS));
    let mut failures = Vec::new();
    for seed in seeds {
        let found = run_scenario(seed, all_faults());
        if !found.is_empty() {
            failures.push(format!("seed {seed}: {}", found.join("\n    ")));
        }
    }
    assert!(
        failures.is_empty(),
        "{} scenarios failed:\n{}",
        failures.len(),
        failures[..failures.len().min(4)].join("\n")
    );
}

#[test]
fn every_subtask_runs_once_without_faults() {
    let mut world = World::new(1, 3, Faults::default());
    let step = Step {
        count: 4,
        demand: Resources {
            cpu_milli: 1000,
            memory_mb: 100,
            accelerators: 2,
        },
        estimate_ms: 1000,
        ..Step::default()
    };
    let id = world.submit(vec![step], 1, 4);
    world.run_for(12_000);
    world.oracle.check_history();
    insta::assert_debug_snapshot!((
        world.progress(id).phase(),
        world.oracle.starts.len(),
        world
            .oracle
            .ends
            .iter()
            .filter(|e| e.acknowledged_before_expiry)
            .count(),
        &world.oracle.violations,
    ));
}
