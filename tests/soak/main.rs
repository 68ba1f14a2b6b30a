//! A randomized soak: the real programs as processes of their own, between stand-ins of the platform,
//! while signals, restarts and a spoiling proxy strike from outside. What callers and workers see is
//! checked against the promises.
//!
//! `LIMPETQUAY_SOAK=FROM..TO` plays a range of seeds.

mod callers;
mod faults;
mod fleet;
mod node;
#[path = "../platform/oracle.rs"]
mod oracle;
mod proxy;

use {
    callers::{Callers, Told},
    compio::runtime::{Runtime, spawn},
    faults::Faults,
    fleet::Fleet,
    limpetquay::{prelude::*, request::StepJobId},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::path::PathBuf,
};

/// The seeds that CI plays.
const SEEDS: std::ops::Range<u64> = 1..3;

/// Seeds of courses that once failed. 28: a guard that was told to stop just after its start was ended by
/// the signal, because it did not listen yet.
const FAILED_SEEDS: [u64; 1] = [28];

/// How long faults strike.
const FAULT_SPAN: Duration = Duration::from_secs(15);

/// The longest time after the last fault in which no run ends while jobs are open: all leases, a
/// takeover and the longest run, one after the other.
const STALL_LIMIT: Duration = Duration::from_secs(15);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/q/",
    "Priority":0,"Service":"s","Attempts":2,"Stretch":3.0}],"Tenants":[{"Name":"t","ApiKeys":["key"]}]}"#;

/// Plays one course; returns what was wrong.
async fn play(seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    drop(std::fs::remove_dir_all(&dir));
    // The process's number keeps courses of several test runs apart.
    let subnet = [1 + (std::process::id() % 200) as u8, (seed % 250) as u8];
    let (entries, guards) = (rng.random_range(2..5), rng.random_range(3..7));
    let fleet = Fleet::start(dir.clone(), subnet, entries, guards, CONFIG).await;
    compio::time::sleep(Duration::from_millis(1500)).await;
    let callers = Callers::new(fleet.clone());
    // Fewer callers than workers, so that the work that is handed in can be done.
    let running = (1..u64::from(guards)).map(|i| spawn(callers.clone().run(seed * 100 + i)));
    let running: Vec<_> = running.collect();
    Faults::new(fleet.clone()).run(seed, FAULT_SPAN).await;
    fleet.note("the faults are over".to_owned());
    callers.stopped.set(true);
    for caller in running {
        drop(caller.await);
    }
    settle(&fleet, &callers).await;
    fleet.check_processes();
    fleet.look();
    fleet.oracle.borrow_mut().check_history();
    fleet.stop();
    let mut wrong = fleet.oracle.borrow().violations.clone();
    if wrong.is_empty() {
        drop(std::fs::remove_dir_all(&dir));
    } else {
        wrong.push(format!("logs: {}", dir.display()));
        wrong.push(fleet.notes.borrow().join("; "));
    }
    let (jobs, starts) = (
        callers.told.borrow().len(),
        fleet.oracle.borrow().starts.len(),
    );
    println!(
        "seed {seed}: {entries} entries, {guards} guards, {jobs} jobs, {starts} starts, {} faults, {} findings",
        fleet.notes.borrow().len(),
        wrong.len()
    );
    wrong
}

/// Waits until every accepted job has ended and nothing runs, and checks what callers were told.
async fn settle(
    fleet: &Rc<Fleet>,
    callers: &Callers,
) {
    let told: Vec<(StepJobId, Told)> = callers.told.borrow().clone().into_iter().collect();
    for (id, told) in told {
        if told.rejected && fleet.has_started(id) {
            fleet.violate(format!("{id} ran though every try was rejected"));
        }
        if told.accepted {
            let state = wait_for_end(fleet, callers, id).await;
            check_state(fleet, id, &told, &state);
        }
    }
    while fleet.running() > 0 && !fleet.is_stalled(STALL_LIMIT) {
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    if fleet.running() > 0 {
        fleet.violate(format!("{} runs go on", fleet.running()));
    }
}

/// Returns a job's state once it is final, or its last one when nothing goes on any more.
async fn wait_for_end(
    fleet: &Fleet,
    callers: &Callers,
    id: StepJobId,
) -> String {
    loop {
        let state = callers.state(id).await.unwrap_or("no answer".to_owned());
        if is_final(&state) || fleet.is_stalled(STALL_LIMIT) {
            return state;
        }
        compio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn is_final(state: &str) -> bool {
    let ends = ["completed", "failed", "cancelled", "410"];
    ends.iter().any(|end| state.contains(end))
}

/// Checks a job's last state against what its workers did.
fn check_state(
    fleet: &Fleet,
    id: StepJobId,
    told: &Told,
    state: &str,
) {
    // The watcher's last look may be older than the answer.
    fleet.look();
    let oracle = fleet.oracle.borrow();
    let job = &oracle.jobs[&id];
    let fails = job.payload.contains("fail");
    let was_cancelled = oracle.cancelled.contains(&id);
    let is_right = match state {
        r#"200 {"State":"completed"}"# => !fails && !told.cancelled || was_cancelled,
        r#"200 {"State":"failed"}"# => fails,
        r#"200 {"State":"cancelled"}"# => was_cancelled,
        _ => false,
    };
    let has_all_ends = job.steps.iter().enumerate().all(|(step, s)| {
        (0..s.count).all(|index| {
            oracle.ends.iter().any(|e| {
                let subtask = e.run.subtask;
                let is_it = s.gang || subtask.index == index;
                e.kind == limpetquay::connection::EndKind::Done
                    && (subtask.job, usize::from(subtask.step)) == (id, step)
                    && is_it
            })
        })
    });
    let is_false = state.contains("completed") && !has_all_ends;
    drop(oracle);
    if !is_right || is_false {
        fleet.violate(format!(
            "{id} is {state}; {told:?}; all ends seen: {has_all_ends}"
        ));
    }
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("LIMPETQUAY_SOAK").ok();
    let range = range.as_ref().and_then(|r| r.split_once(".."));
    match range.map(|(from, to)| (from.parse(), to.parse())) {
        Some((Ok(from), Ok(to))) => (from..to).collect(),
        _ => FAILED_SEEDS.into_iter().chain(SEEDS).collect(),
    }
}

#[test]
fn courses_of_processes_keep_the_promises() {
    let mut wrong = Vec::new();
    for seed in seeds() {
        let found = Runtime::new().expect("a runtime").block_on(play(seed));
        if !found.is_empty() {
            println!("seed {seed}:\n    {}", found.join("\n    "));
            wrong.push(seed);
        }
    }
    assert!(wrong.is_empty(), "seeds with findings: {wrong:?}");
}

/// Signals that come in quick succession, also just after a start, end no process.
#[test]
fn a_burst_of_reloads_ends_no_process() {
    let found = Runtime::new().expect("a runtime").block_on(async {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reloads");
        let subnet = [1 + (std::process::id() % 200) as u8, 251];
        let fleet = Fleet::start(dir, subnet, 1, 1, CONFIG).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        for round in 0..1000 {
            for _ in 0..1 + round % 4 {
                for node in &fleet.nodes {
                    node.signal(rustix::process::Signal::HUP);
                }
            }
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.check_processes();
        fleet.stop();
        fleet.oracle.borrow().violations.clone()
    });
    assert!(found.is_empty(), "{found:?}");
}
