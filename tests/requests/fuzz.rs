//! Fuzzing of the whole path.

use {
    super::{
        fakes::LogMode,
        oracle::{Oracle, Told},
        steps::{ACCOUNTS, KINDS, SITES, Step, step},
        world::{DOCUMENT, World},
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

/// The most tries to make a failing run simpler.
const MAX_SIMPLIFICATIONS: usize = 300;

/// The longest time until everything sent has an outcome.
const REST_MS: u64 = 30_000;

/// One run: the world, what callers were told, and the tasks of the callers.
struct Run {
    world: Rc<World>,
    oracle: Rc<RefCell<Oracle>>,
    callers: RefCell<Vec<Vec<JoinHandle<()>>>>,
}

impl Run {
    /// Sends one request in a task of its own.
    fn send(
        &self,
        index: usize,
        account: &str,
        kind: &str,
        key: Option<&str>,
        body: &str,
    ) {
        let entry = self.world.entry(index);
        let req = self.world.request(&entry, account, kind, key, body);
        let number = self.oracle.borrow().told.len();
        self.oracle.borrow_mut().told.push(Told {
            req: req.clone(),
            outcome: None,
        });
        let oracle = self.oracle.clone();
        let caller = spawn(async move {
            let outcome = run_request(&entry, &req).await;
            oracle.borrow_mut().told[number].outcome = Some(outcome);
        });
        self.callers.borrow_mut()[index].push(caller);
    }

    async fn take(
        &self,
        number: usize,
        step: Step,
    ) {
        let world = &self.world;
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
                    // A key stands for the same content at different entries and times.
                    let body = match key {
                        Some(_) => format!("{poison}{content}"),
                        None => format!("{poison}{number}.{i}"),
                    };
                    let key = key.map(|k| format!("key-{k}"));
                    self.send(entry, ACCOUNTS[account], KINDS[kind], key.as_deref(), &body);
                }
            }
            Step::Fault { site, fault, count } => {
                let faults = (0..count).map(|_| fault);
                world.sites[site].faults.borrow_mut().extend(faults);
            }
            Step::Worker { site, mode } => world.sites[site].worker.mode.set(mode),
            Step::KillGuard(site) => world.sites[site].kill_guard(),
            Step::StartGuard(site) => {
                if world.sites[site].guard.borrow().is_none() {
                    world.sites[site].start_guard();
                }
            }
            Step::ReplaceEntry(index) => {
                let callers = std::mem::take(&mut self.callers.borrow_mut()[index]);
                drop(callers);
                world.replace_entry(index);
            }
            Step::Log(mode) => world.log.mode.set(mode),
            Step::Wait(ms) => world.sleep(ms).await,
        }
    }
}

/// Takes the steps, lets everything come to rest and returns the outcomes by kind.
fn run_steps(steps: Vec<Step>) -> Result<BTreeMap<&'static str, u32>, String> {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    clock.block_on(async move {
        let world = World::start(cx, SITES as u16, SLOTS, DOCUMENT).await;
        let run = Run {
            world: world.clone(),
            oracle: Rc::default(),
            callers: RefCell::new(vec![Vec::new(), Vec::new()]),
        };
        for (number, step) in steps.into_iter().enumerate() {
            run.take(number, step).await;
        }
        world.log.mode.set(LogMode::Up);
        world.sleep(REST_MS).await;
        let oracle = run.oracle.borrow();
        oracle.check(&world)?;
        Ok(count_outcomes(&oracle))
    })
}

fn count_outcomes(oracle: &Oracle) -> BTreeMap<&'static str, u32> {
    let mut counts = BTreeMap::new();
    for told in &oracle.told {
        let label = match &told.outcome {
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

/// Reads a number that a longer run is given by the environment.
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

/// Over faults of every kind: nothing that must not runs twice, every answer is its caller's own,
/// what was told not to have run has not, and no slot is passed.
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

/// Without faults nearly every request is answered, so the oracle is not kept by refusing.
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
    let counts = run_steps(sends.collect()).expect("the oracle holds");
    insta::assert_debug_snapshot!(counts);
}
