//! Random urgent work of several accounts in virtual time: what an account is guaranteed starts in
//! time, whatever the others run.

use {
    super::{
        guarantees::{RECLAIM_MS, WORK_MS, begun_after, world},
        world::{CAPACITY, World},
    },
    limpetquay::{
        connection::EndKind,
        request::{Resources, Step, StepJobId},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

const SEEDS: std::ops::Range<u64> = 1..31;

/// The number of claims of each seed.
const ROUNDS: usize = 4;

/// The longest time until all jobs of a round have ended, in milliseconds.
const MAX_ROUND_MS: u64 = 100_000;

/// An account whose jobs are watched, with its guaranteed accelerators.
type Account = (&'static str, u64);

/// A submitted job of priority 0.
struct UrgentJob {
    account: &'static str,
    id: StepJobId,
    submitted: u64,
    accelerators: u64,
}

/// Returns a step that takes no more of a worker's processors and memory than its accelerators'
/// share.
fn random_step(
    rng: &mut StdRng,
    racks: usize,
    max_accelerators: u64,
) -> Step {
    let accelerators = [1, 1, 2, 4, 8][rng.random_range(0..5)].min(max_accelerators);
    let max_count = (max_accelerators / accelerators).min(4);
    let rack = format!("r{}", rng.random_range(0..racks));
    Step {
        count: rng.random_range(1..=max_count) as u32,
        demand: Resources {
            cpu_milli: 10_000 * accelerators,
            memory_mb: 20_000 * accelerators,
            accelerators,
        },
        gang: true,
        estimate_ms: 8000,
        rack_bound: rng.random_range(0..2) == 0,
        data_rack: (rng.random_range(0..4) == 0).then(|| rack.as_str().into()),
        ..Step::default()
    }
}

/// Returns a step that needs no accelerators and takes much of a worker.
fn step_without_accelerators(rng: &mut StdRng) -> Step {
    let demand = match rng.random_range(0..2) {
        0 => Resources {
            cpu_milli: 120_000,
            memory_mb: 1000,
            accelerators: 0,
        },
        _ => Resources {
            cpu_milli: 1000,
            memory_mb: 250_000,
            accelerators: 0,
        },
    };
    Step {
        count: 1,
        demand,
        gang: true,
        estimate_ms: 8000,
        ..Step::default()
    }
}

/// What fills the workers before an account claims its guarantee.
#[derive(Clone, Copy, Debug)]
enum Filling {
    /// Urgent gangs of another account, up to and beyond its guarantee.
    Gangs,
    /// Urgent work of another account that stays within its guarantee and has its data on one rack.
    OneRack,
    /// Small urgent units of another account within its guarantee, beside less urgent work that ends.
    Scattered,
    /// Urgent work without accelerators.
    WithoutAccelerators,
}

impl Filling {
    const ALL: [Self; 4] = [
        Self::Gangs,
        Self::OneRack,
        Self::Scattered,
        Self::WithoutAccelerators,
    ];
}

/// One seed's workers and accounts.
struct Scenario {
    rng: StdRng,
    world: World,
    guards: usize,
    racks: usize,
    accounts: [Account; 2],
    urgent: Vec<UrgentJob>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let racks = rng.random_range(2..5);
        let guards = racks * rng.random_range(2..4);
        let half = guards as u64 / 2 * CAPACITY.accelerators;
        let first = rng.random_range(1..half / CAPACITY.accelerators) * CAPACITY.accelerators;
        let accounts = [("a", first), ("b", half - first)];
        let mut world = world(guards, &accounts);
        for guard in 0..guards {
            world.set_rack(guard, &format!("r{}", guard % racks));
        }
        world.run_for(3000);
        Self {
            rng,
            world,
            guards,
            racks,
            accounts,
            urgent: Vec::new(),
        }
    }

    fn submit_urgent(
        &mut self,
        account: &'static str,
        step: Step,
    ) {
        let accelerators = step.demand.accelerators * u64::from(step.count);
        self.urgent.push(UrgentJob {
            account,
            submitted: self.world.now,
            accelerators,
            id: self.world.submit_for(account, vec![step], 0, 1),
        });
    }

    fn pause(
        &mut self,
        span: std::ops::Range<u64>,
    ) {
        let span = self.rng.random_range(span);
        self.world.run_for(span);
    }

    fn has_unfinished_jobs(&self) -> bool {
        let urgent = self.urgent.iter();
        let mut ends = urgent.map(|job| ended_at(&self.world, job.id));
        ends.any(|at| at.is_none())
    }

    /// Fills the workers with work of one account and claims the guarantee of the other.
    fn play_round(
        &mut self,
        filling: Filling,
    ) {
        let holder = self.rng.random_range(0..2);
        let (holder, guaranteed) = self.accounts[holder];
        match filling {
            Filling::Gangs => {
                let mut total = 0;
                while total < self.guards as u64 * CAPACITY.accelerators {
                    let step = random_step(&mut self.rng, self.racks, 3 * CAPACITY.accelerators);
                    total += step.demand.accelerators * u64::from(step.count);
                    self.submit_urgent(holder, step);
                    self.pause(20..150);
                }
            }
            Filling::OneRack => {
                for _ in 0..guaranteed / CAPACITY.accelerators {
                    let mut step = random_step(&mut self.rng, 1, CAPACITY.accelerators);
                    step.demand = CAPACITY;
                    (step.count, step.data_rack) = (1, Some("r0".into()));
                    self.submit_urgent(holder, step);
                    self.pause(20..150);
                }
            }
            Filling::Scattered => {
                for _ in 0..self.guards {
                    let mut step = random_step(&mut self.rng, self.racks, CAPACITY.accelerators);
                    (step.count, step.data_rack) = (1, None);
                    step.demand.accelerators = CAPACITY.accelerators - 1;
                    step.demand.cpu_milli = 10_000;
                    self.world.submit_for(holder, vec![step], 1, 1);
                }
                self.pause(WORK_MS - 2000..WORK_MS - 1000);
                for _ in 0..guaranteed.min(self.guards as u64) {
                    let mut step = random_step(&mut self.rng, self.racks, 1);
                    (step.count, step.data_rack) = (1, None);
                    self.submit_urgent(holder, step);
                }
                self.pause(2500..3500);
            }
            Filling::WithoutAccelerators => {
                for _ in 0..self.guards + 2 {
                    let step = step_without_accelerators(&mut self.rng);
                    self.world.submit_for("filler", vec![step], 0, 1);
                    self.pause(20..150);
                }
            }
        }
        self.pause(500..1500);
        let [first, second] = self.accounts;
        let (claimant, mut rest) = if first.0 == holder { second } else { first };
        while rest > 0 {
            let mut step = random_step(&mut self.rng, self.racks, rest);
            // The fillings of one rack and of scattered work leave no room for other claims.
            if !matches!(filling, Filling::Gangs | Filling::WithoutAccelerators) {
                step.data_rack = Some("r0".into());
                (step.count, step.demand) = (1, CAPACITY);
            }
            rest -= step.demand.accelerators * u64::from(step.count);
            self.submit_urgent(claimant, step);
            if self.rng.random_range(0..3) == 0 {
                break;
            }
            self.pause(20..400);
        }
        let end = self.world.now + MAX_ROUND_MS;
        self.world.run_for(RECLAIM_MS);
        while self.has_unfinished_jobs() && self.world.now < end {
            self.world.run_for(500);
        }
    }
}

/// Returns when the first end as done of a job's only unit was observed.
fn ended_at(
    world: &World,
    id: StepJobId,
) -> Option<u64> {
    let ends = world.oracle.ends.iter();
    let mut done = ends.filter(|e| e.run.subtask.job == id && e.kind == EndKind::Done);
    done.next().map(|e| e.at)
}

/// Returns the jobs that were within their account's guarantee, together with all others of it that had
/// not ended, until they should have begun, and that had not begun then.
fn late_jobs(
    world: &World,
    urgent: &[UrgentJob],
    accounts: &[Account],
) -> (usize, Vec<String>) {
    let mut within = 0;
    let mut late = Vec::new();
    for job in urgent {
        let (_, guaranteed) = accounts
            .iter()
            .find(|(name, _)| *name == job.account)
            .expect("an account");
        let needed = urgent.iter().filter(|other| {
            other.account == job.account
                && other.submitted <= job.submitted + RECLAIM_MS
                && ended_at(world, other.id).is_none_or(|at| at + RECLAIM_MS / 4 >= job.submitted)
        });
        if needed.map(|other| other.accelerators).sum::<u64>() > *guaranteed {
            continue;
        }
        within += 1;
        let waited = begun_after(world, job.id, job.submitted);
        if waited.is_none_or(|ms| ms > RECLAIM_MS) {
            let step = &world.oracle.jobs[&job.id].steps[0];
            late.push(format!(
                "{} {} at {} ms begun after {waited:?}: {step:?}",
                job.account, job.id, job.submitted
            ));
        }
    }
    (within, late)
}

/// Guards against work that keeps an account from what it is guaranteed: urgent work of other accounts
/// beyond their guarantees or without accelerators, work that holds racks, and scattered work.
#[test]
fn guaranteed_work_starts_in_time_beside_other_work() {
    let mut watched = 0;
    let mut failures = Vec::new();
    for seed in SEEDS {
        let mut scenario = Scenario::new(seed);
        for _ in 0..ROUNDS {
            let filling = Filling::ALL[scenario.rng.random_range(0..Filling::ALL.len())];
            scenario.play_round(filling);
        }
        let Scenario {
            world,
            urgent,
            accounts,
            ..
        } = &scenario;
        let (within, mut found) = late_jobs(world, urgent, accounts);
        watched += within;
        let unfinished = urgent.iter().filter(|j| ended_at(world, j.id).is_none());
        found.extend(unfinished.map(|j| format!("{} never completes", j.id)));
        found.extend(world.oracle.violations.iter().cloned());
        if !found.is_empty() {
            let (guards, racks) = (scenario.guards, scenario.racks);
            let found = found.join("\n    ");
            failures.push(format!(
                "seed {seed}, {guards} workers in {racks} racks, {accounts:?}:\n    {found}"
            ));
        }
    }
    println!("{watched} jobs within their guarantees");
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
