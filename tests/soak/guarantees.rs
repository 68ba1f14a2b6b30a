//! Accounts of one priority that claim what they are guaranteed beside each other's work.

use {
    super::{
        callers::{Callers, parse_id},
        fleet::{CAPACITY, Fleet},
        log_dir,
        scenario::Scenario,
        wait_and_check_jobs,
    },
    compio::runtime::Runtime,
    limpetquay::{
        prelude::*,
        request::{Resources, Step},
    },
    rand::{SeedableRng, rngs::StdRng},
};

/// The time in which a job within its account's guarantee begins.
const RECLAIM_TIME: Duration = Duration::from_millis(2700);

const GUARDS: u8 = 6;

/// The work of the account that fills the workers, in milliseconds.
const FILLING_WORK_MS: u64 = 7000;

/// Separates the IDs of the second account's jobs from those of the first.
const SECOND_ID_STREAM: u64 = 0x2_5eed;

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/q/","Priority":0,
    "Service":"s","Attempts":2,"Stretch":3.0}],"Tenants":[{"Name":"t","ApiKeys":["key"],"Guaranteed":{"Gpu":16}},
    {"Name":"u","ApiKeys":["second-key"],"Guaranteed":{"Gpu":16}}]}"#;

fn step(
    count: u32,
    demand: Resources,
) -> Step {
    Step {
        count,
        demand,
        estimate_ms: FILLING_WORK_MS,
        gang: count > 1,
        ..Step::default()
    }
}

/// Returns how many subtasks of a job a worker has started.
fn started_count(
    fleet: &Fleet,
    id: &str,
) -> usize {
    fleet.observe_workers();
    let oracle = fleet.oracle.borrow();
    let starts = oracle.starts.iter();
    let own = starts.filter(|(_, run)| run.subtask.job == parse_id(id));
    own.map(|(_, run)| run.subtask.index)
        .collect::<std::collections::BTreeSet<_>>()
        .len()
}

/// Fills the workers with jobs of the second account, submits a claim of the first one, and returns the
/// violations until all jobs have ended.
fn violations_beside(
    host: u8,
    filling: &[Step],
) -> Vec<String> {
    let runtime = Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let dir = log_dir(&format!("guarantees-{host}"));
        drop(std::fs::remove_dir_all(&dir));
        let subnet = [201 + (std::process::id() % 50) as u8, host];
        let scenario = Scenario {
            entries: 2,
            guards: GUARDS,
            ..Scenario::draw(1)
        };
        let fleet = Fleet::start(dir, subnet, CONFIG, scenario).await;
        let claimant = Callers::new(fleet.clone());
        let holder = Callers::with_key(fleet.clone(), "second-key", SECOND_ID_STREAM);
        let mut rng = StdRng::seed_from_u64(host.into());
        compio::time::sleep(Duration::from_millis(2500)).await;
        let payload = format!("work_ms={FILLING_WORK_MS}");
        for step in filling {
            holder.submit_step(&mut rng, step.clone(), &payload).await;
        }
        compio::time::sleep(Duration::from_millis(1000)).await;
        let demand = Resources {
            accelerators: 8,
            cpu_milli: 4000,
            memory_mb: 4000,
        };
        let claim = claimant
            .submit_step(&mut rng, step(2, demand), "work_ms=500")
            .await;
        compio::time::sleep(RECLAIM_TIME).await;
        let started = started_count(&fleet, &claim);
        if started < 2 {
            fleet.record_violation(format!(
                "{started} of 2 subtasks have begun {RECLAIM_TIME:?} after the confirmation"
            ));
        }
        wait_and_check_jobs(&fleet, &claimant).await;
        wait_and_check_jobs(&fleet, &holder).await;
        fleet.check_processes();
        fleet.stop();
        fleet.oracle.borrow().violations.clone()
    })
}

/// Guards against urgent work beyond its account's guarantee that keeps another account from its own.
#[test]
fn a_guarantee_is_claimed_beside_urgent_work_beyond_another() {
    let demand = Resources {
        accelerators: 8,
        cpu_milli: 4000,
        memory_mb: 4000,
    };
    let violations = violations_beside(61, &[step(2, demand), step(2, demand), step(2, demand)]);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against urgent work without accelerators that keeps an account from its guarantee.
#[test]
fn a_guarantee_is_claimed_beside_urgent_work_without_accelerators() {
    let demand = Resources {
        accelerators: 0,
        ..CAPACITY
    };
    let violations = violations_beside(62, &vec![step(1, demand); usize::from(GUARDS)]);
    assert!(violations.is_empty(), "{violations:#?}");
}
