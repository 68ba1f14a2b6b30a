//! Fuzzing of the whole request path under faults.

use {
    super::{
        fakes::LogMode,
        outcome_checker::{Observation, OutcomeChecker},
        steps::{ACCOUNTS, KINDS, Step, UPSTREAM_COUNT, step},
        test_cluster::{DOCUMENT, TestCluster},
    },
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{
        prelude::*,
        process::clock::VirtualClock,
        request::{Outcome, run_request},
    },
    proptest::{
        collection::vec,
        strategy::{Strategy, ValueTree},
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    std::{cell::RefCell, collections::BTreeMap, env},
};

const SLOTS: u32 = 4;
const CASES: u32 = 60;
const STEPS: usize = 60;

/// Largest number of attempts to simplify a failing scenario.
const MAX_SIMPLIFICATIONS: usize = 300;

/// Virtual time after which every request has its outcome, in milliseconds.
const SETTLE_MS: u64 = 30_000;

/// One scenario: the cluster, the observed outcomes and the callers' tasks by entry.
struct Scenario {
    cluster: Rc<TestCluster>,
    checker: Rc<RefCell<OutcomeChecker>>,
    callers: RefCell<Vec<Vec<JoinHandle<()>>>>,
}

impl Scenario {
    /// Sends a request in its own task.
    fn send(
        &self,
        index: usize,
        account: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) {
        let entry = self.cluster.entry(index);
        let req = self.cluster.request(&entry, account, kind, key, body);
        let number = self.checker.borrow().observations.len();
        self.checker.borrow_mut().observations.push(Observation {
            req: req.clone(),
            outcome: None,
        });
        let checker = self.checker.clone();
        let caller = spawn(async move {
            let outcome = run_request(&entry, &req).await;
            checker.borrow_mut().observations[number].outcome = Some(outcome);
        });
        self.callers.borrow_mut()[index].push(caller);
    }

    async fn apply(
        &self,
        number: usize,
        step: Step,
    ) {
        let cluster = &self.cluster;
        match step {
            Step::Send {
                entry,
                account,
                kind,
                key,
                content,
                count,
            } => {
                for i in 0..count {
                    let poison = if content == 2 { "poison " } else { "" };
                    // The same key carries the same content at different entries and times.
                    let body = match key {
                        Some(_) => format!("{poison}{content}"),
                        None => format!("{poison}{number}.{i}"),
                    };
                    let key = key.map(|k| format!("key-{k}"));
                    self.send(entry, ACCOUNTS[account], KINDS[kind], key.as_deref(), &body);
                }
            }
            Step::Fault {
                upstream,
                fault,
                count,
            } => {
                let faults = (0..count).map(|_| fault);
                cluster.upstreams[upstream]
                    .faults
                    .borrow_mut()
                    .extend(faults);
            }
            Step::Worker { upstream, mode } => cluster.upstreams[upstream].worker.mode.set(mode),
            Step::KillGuard(upstream) => cluster.upstreams[upstream].kill_guard(),
            Step::StartGuard(upstream) => {
                if cluster.upstreams[upstream].guard.borrow().is_none() {
                    cluster.upstreams[upstream].start_guard();
                }
            }
            Step::ReplaceEntry(index) => {
                let callers = std::mem::take(&mut self.callers.borrow_mut()[index]);
                drop(callers);
                cluster.replace_entry(index);
            }
            Step::Log(mode) => cluster.log.mode.set(mode),
            Step::Wait(ms) => cluster.sleep(ms).await,
        }
    }
}

/// Runs the steps, waits until every request has ended, checks the outcomes and counts them.
fn run_steps(steps: Vec<Step>) -> Result<BTreeMap<&'static str, u32>, String> {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    clock.block_on(async move {
        let cluster = TestCluster::start(cx, UPSTREAM_COUNT as u16, SLOTS, DOCUMENT).await;
        let scenario = Scenario {
            cluster: cluster.clone(),
            checker: Rc::default(),
            callers: RefCell::new(vec![Vec::new(), Vec::new()]),
        };
        for (number, step) in steps.into_iter().enumerate() {
            scenario.apply(number, step).await;
        }
        cluster.log.mode.set(LogMode::Up);
        cluster.sleep(SETTLE_MS).await;
        let checker = scenario.checker.borrow();
        checker.check(&cluster)?;
        Ok(count_outcomes(&checker))
    })
}

fn count_outcomes(checker: &OutcomeChecker) -> BTreeMap<&'static str, u32> {
    let mut counts = BTreeMap::new();
    for observation in &checker.observations {
        let label = match &observation.outcome {
            None => "entry died",
            Some(Outcome::Answered { status: 200, .. }) => "answered",
            Some(Outcome::Answered { .. }) => "failed",
            Some(Outcome::NotRun(reason)) => reason.label(),
            Some(Outcome::Unknown) => "unknown",
            Some(Outcome::Conflict(_)) => "conflict",
        };
        *counts.entry(label).or_default() += 1;
    }
    counts
}

/// Returns the number in an environment variable, by which longer runs are configured.
fn from_env<T>(
    name: &str,
    default: T,
) -> T
where
    T: std::str::FromStr,
{
    let value = env::var(name).ok().and_then(|v| v.parse().ok());
    value.unwrap_or(default)
}

/// Under faults of every kind, no request that is not idempotent runs twice, every answer belongs
/// to its caller's request, no request that was reported as not run has run, and no upstream runs
/// more requests than it has slots.
#[test]
fn outcomes_are_true_under_faults() {
    let seed: u64 = from_env("LIMPETQUAY_FUZZ_SEED", 1);
    let cases: u32 = from_env("LIMPETQUAY_FUZZ_CASES", CASES);
    let max_steps: usize = from_env("LIMPETQUAY_FUZZ_STEPS", STEPS);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let strategy = vec(step(), 1..=max_steps);
    let mut totals: BTreeMap<&'static str, u32> = BTreeMap::new();
    let mut steps_taken = 0;
    for case in 0..cases {
        let mut tree = strategy.new_tree(&mut runner).expect("steps can be drawn");
        let steps = tree.current();
        steps_taken += steps.len();
        match run_steps(steps) {
            Ok(counts) => counts.into_iter().for_each(|(label, n)| {
                *totals.entry(label).or_default() += n;
            }),
            Err(message) => {
                for _ in 0..MAX_SIMPLIFICATIONS {
                    if !tree.simplify() {
                        break;
                    }
                    if run_steps(tree.current()).is_ok() {
                        tree.complicate();
                    }
                }
                panic!("case {case}, seed {seed}: {message}\n{:#?}", tree.current());
            }
        }
    }
    println!("{steps_taken} steps, {totals:?}");
    if (seed, cases, max_steps) == (1, CASES, STEPS) {
        insta::assert_debug_snapshot!(totals);
    }
}

/// Guards against a cluster that passes the checks by rejecting requests: without faults nearly
/// every request is answered.
#[test]
fn requests_are_answered_without_faults() {
    let sends = (0..40).flat_map(|i| {
        let send = Step::Send {
            entry: i % 2,
            account: i / 2 % 2,
            kind: i % 2,
            key: None,
            content: 0,
            count: 8,
        };
        [send, Step::Wait(100)]
    });
    let counts = run_steps(sends.collect()).expect("all checks pass");
    insta::assert_debug_snapshot!(counts);
}
