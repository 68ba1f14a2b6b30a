//! A randomized soak test: the programs run as processes of their own against stand-ins of the
//! platform, while signals, restarts and faulty links are injected from outside. The answers to
//! callers and the runs at workers are checked against the guarantees of the system.
//!
//! `LIMPETQUAY_SOAK=FROM..TO` runs a range of seeds instead of the default ones. Seeds from 1000 on
//! play the terms, the work and the faults of the users' deployments.

mod bursts;
mod callers;
mod fault_injector;
mod fleet;
mod guarantees;
mod job_ids;
mod large_progress;
mod node;
#[path = "../platform/oracle.rs"]
mod oracle;
mod pending_check;
mod proxy;
mod scenario;
mod site_faults;
mod takeovers;
mod trace;
mod worker_incarnation;

use {
    callers::{Callers, ReceivedAnswers, parse_id},
    compio::runtime::{Runtime, spawn},
    fault_injector::FaultInjector,
    fleet::Fleet,
    limpetquay::prelude::*,
    scenario::{BusyThreads, Scenario},
    std::path::PathBuf,
};

/// The seeds that CI runs.
const SEEDS: std::ops::Range<u64> = 1..3;

/// The time after a job's acceptance from which every entry knows it.
const VISIBILITY_TIME: Duration = Duration::from_millis(3000);

/// Seeds that have failed before. 28: SIGTERM just after the start of a guard killed it, because no
/// signal handler was installed yet.
const REGRESSION_SEEDS: [u64; 1] = [28];

/// Returns the configuration with a version.
fn config(version: u64) -> String {
    CONFIG.replace("VERSION", &version.to_string())
}

const CONFIG: &str = r#"{"Version":VERSION,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/q/",
    "Priority":0,"Service":"s","Attempts":2,"Stretch":3.0}],"Tenants":[{"Name":"t","ApiKeys":["key"]}]}"#;

/// Returns the folder of the settings and logs of one test. Test runs at the same time have
/// different ones.
fn log_dir(name: &str) -> PathBuf {
    let run = format!("run-{}", std::process::id());
    PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(run)
        .join(name)
}

/// Runs one scenario and returns the violations, with the place of the logs and the injected
/// faults.
async fn run_scenario(seed: u64) -> Vec<String> {
    let scenario = Scenario::draw(seed);
    let dir = log_dir(&format!("soak-{seed}"));
    drop(std::fs::remove_dir_all(&dir));
    // The process id separates the addresses of test runs at the same time.
    let subnet = [1 + (std::process::id() % 200) as u8, (seed % 250) as u8];
    let Scenario {
        entries, guards, ..
    } = scenario;
    let _busy = BusyThreads::start(scenario.busy_threads);
    let fleet = Fleet::start(dir.clone(), subnet, &config(1), scenario).await;
    if !scenario.workload.is_site {
        compio::time::sleep(Duration::from_millis(1500)).await;
    }
    let callers = Callers::new(fleet.clone());
    let _pending_check = spawn(pending_check::check_pending_jobs(
        fleet.clone(),
        callers.clone(),
    ));
    // Fewer callers than workers, so that the workers can complete the submitted work.
    let caller_tasks = (1..u64::from(guards)).map(|i| spawn(callers.clone().run(seed * 100 + i)));
    let caller_tasks: Vec<_> = caller_tasks.collect();
    FaultInjector::new(fleet.clone(), callers.clone())
        .run(seed, scenario.fault_duration)
        .await;
    fleet.log_event("all faults are over".to_owned());
    callers.is_stopped.set(true);
    for caller in caller_tasks {
        drop(caller.await);
    }
    callers.cancel_large_jobs().await;
    wait_and_check_jobs(&fleet, &callers).await;
    fleet.check_processes();
    fleet.observe_workers();
    fleet.oracle.borrow_mut().check_history();
    fleet.stop();
    let mut violations = fleet.oracle.borrow().violations.clone();
    let oversized = fleet.store.model().borrow().oversized_appends;
    if oversized > 0 {
        violations.push(format!("{oversized} appends above the limits of the store"));
    }
    if violations.is_empty() {
        drop(std::fs::remove_dir_all(&dir));
    } else {
        let lines = trace::lines_about(&violations, &dir);
        violations.push(format!("logs: {}", dir.display()));
        violations.push(format!("{scenario:?}"));
        violations.push(fleet.events.borrow().join("; "));
        violations.extend(lines);
    }
    let (jobs, starts) = (
        callers.received.borrow().len(),
        fleet.oracle.borrow().starts.len(),
    );
    println!(
        "seed {seed}: {entries} entries, {guards} guards, {jobs} jobs, {starts} starts, {} faults, {} comparisons of pending jobs, stalled connections used: {:?}, {} findings",
        fleet.events.borrow().len(),
        fleet.pending_comparisons.get(),
        fleet.stalled_uses.borrow(),
        violations.len()
    );
    violations
}

/// Waits until every accepted job has ended and no run is left, and checks the answers that callers
/// received.
async fn wait_and_check_jobs(
    fleet: &Rc<Fleet>,
    callers: &Callers,
) {
    let received: Vec<(Arc<str>, ReceivedAnswers)> =
        callers.received.borrow().clone().into_iter().collect();
    for (id, answers) in received {
        if answers.is_rejected && fleet.has_started(&id) {
            fleet.record_violation(format!("{id} ran although every submission was rejected"));
        }
        if answers.is_accepted {
            let age = fleet.clock.now().since(answers.accepted_at);
            compio::time::sleep(VISIBILITY_TIME.saturating_sub(age)).await;
            let state = wait_for_end(fleet, callers, &id).await;
            check_state(fleet, &id, &answers, &state);
        }
    }
    while fleet.running_count() > 0 && !fleet.is_stalled() {
        compio::time::sleep(Duration::from_millis(100)).await;
    }
    if fleet.running_count() > 0 {
        fleet.record_violation(format!("{} runs never ended", fleet.running_count()));
    }
}

/// Returns a job's state once it is final, or the last known one if the scenario makes no more
/// progress.
async fn wait_for_end(
    fleet: &Fleet,
    callers: &Callers,
    id: &str,
) -> String {
    loop {
        let state = callers.state(id).await.unwrap_or("no answer".to_owned());
        if is_final(&state) || fleet.is_stalled() {
            return state;
        }
        compio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn is_final(state: &str) -> bool {
    let ends = ["completed", "failed", "cancelled", "410"];
    ends.iter().any(|end| state.contains(end))
}

/// Checks a job's last state against the ends observed at the workers and the answers to its
/// caller.
fn check_state(
    fleet: &Fleet,
    id: &str,
    answers: &ReceivedAnswers,
    state: &str,
) {
    // The observer may have run last before the job ended.
    fleet.observe_workers();
    let oracle = fleet.oracle.borrow();
    let job_id = parse_id(id);
    let job = &oracle.jobs[&job_id];
    let is_failing = job.payload.contains("fail");
    let was_cancelled = oracle.cancelled.contains(&job_id);
    let is_expected = match state {
        r#"200 {"State":"completed"}"# => !is_failing && !answers.is_cancelled || was_cancelled,
        r#"200 {"State":"failed"}"# => is_failing,
        r#"200 {"State":"cancelled"}"# => was_cancelled,
        _ => false,
    };
    let has_all_ends = job.steps.iter().enumerate().all(|(step, s)| {
        (0..s.count).all(|index| {
            oracle.ends.iter().any(|e| {
                let subtask = e.run.subtask;
                let is_counted = s.gang || subtask.index == index;
                e.kind == limpetquay::connection::EndKind::Done
                    && (subtask.job, usize::from(subtask.step)) == (job_id, step)
                    && is_counted
            })
        })
    });
    let is_incomplete = state.contains("completed") && !has_all_ends;
    drop(oracle);
    if !is_expected || is_incomplete {
        fleet.record_violation(format!(
            "{id} has state {state}; {answers:?}; all ends observed: {has_all_ends}"
        ));
    }
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("LIMPETQUAY_SOAK").ok();
    let range = range.as_ref().and_then(|r| r.split_once(".."));
    match range.map(|(from, to)| (from.parse(), to.parse())) {
        Some((Ok(from), Ok(to))) => (from..to).collect(),
        _ => REGRESSION_SEEDS.into_iter().chain(SEEDS).collect(),
    }
}

#[test]
fn random_faults_violate_no_guarantee() {
    let mut failed_seeds = Vec::new();
    for seed in seeds() {
        let violations = Runtime::new()
            .expect("the runtime can be created")
            .block_on(run_scenario(seed));
        if !violations.is_empty() {
            println!("seed {seed}:\n    {}", violations.join("\n    "));
            failed_seeds.push(seed);
        }
    }
    assert!(
        failed_seeds.is_empty(),
        "seeds with violations: {failed_seeds:?}"
    );
}

/// Returns a scenario without faults of a few processes.
fn small_fleet(
    seed: u64,
    entries: u8,
    guards: u8,
) -> Scenario {
    Scenario {
        entries,
        guards,
        ..Scenario::draw(seed)
    }
}

/// Runs a job on two workers while `disturb` acts on the first one, and returns the violations.
/// Tests at the same time need different seeds, which also separate their addresses; 251 is taken.
fn violations_while<F>(
    seed: u64,
    disturb: F,
) -> Vec<String>
where
    F: AsyncFnOnce(&Rc<Fleet>),
{
    let runtime = Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let dir = log_dir(&format!("soak-{seed}"));
        drop(std::fs::remove_dir_all(&dir));
        let subnet = [1 + (std::process::id() % 200) as u8, seed as u8];
        let fleet = Fleet::start(dir, subnet, &config(1), small_fleet(seed, 1, 2)).await;
        let callers = Callers::new(fleet.clone());
        compio::time::sleep(Duration::from_millis(2000)).await;
        let job = callers.submit_one(8, 2500).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        disturb(&fleet).await;
        let state = wait_for_end(&fleet, &callers, &job).await;
        fleet.observe_workers();
        fleet.oracle.borrow_mut().check_history();
        fleet.stop();
        let mut violations = fleet.oracle.borrow().violations.clone();
        if !state.contains("completed") {
            violations.push(format!("the job has state {state}"));
        }
        violations
    })
}

/// Guards against work that is started again while it runs: a worker is cut off from its guard and
/// refuses connections, and its runs go on within their lease.
#[test]
fn runs_of_a_worker_that_refuses_connections_are_not_started_again() {
    let violations = violations_while(253, async |fleet| {
        fleet.cut_worker(0, true);
        compio::time::sleep(Duration::from_millis(1700)).await;
        fleet.cut_worker(0, false);
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against work that is started again while it runs: a worker has deregistered, and its runs
/// go on until it ends.
#[test]
fn runs_of_a_worker_that_deregisters_go_on_until_it_ends() {
    let violations = violations_while(252, async |fleet| {
        fleet.deregister_worker(0).await;
        compio::time::sleep(Duration::from_millis(1500)).await;
        fleet.crash_worker(0);
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Checks that signals in quick succession, also just after a start, do not end a process.
#[test]
fn a_burst_of_reloads_ends_no_process() {
    let violations = Runtime::new()
        .expect("the runtime can be created")
        .block_on(async {
            let dir = log_dir("reloads");
            let subnet = [1 + (std::process::id() % 200) as u8, 251];
            let fleet = Fleet::start(dir, subnet, &config(1), small_fleet(251, 1, 1)).await;
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
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a signal that ends a process because its handler runs on a thread that is just being
/// started.
#[test]
fn reloads_during_the_start_of_a_process_do_not_end_it() {
    const STARTS: usize = 300;
    const BUSY_THREADS: usize = 12;
    const MAX_START_TIME: Millis = Millis(2000);
    const RELOAD_DURATION: Millis = Millis(40);
    let _busy = BusyThreads::start(BUSY_THREADS);
    let violations = Runtime::new()
        .expect("the runtime can be created")
        .block_on(async {
            let dir = log_dir("reloads-at-start");
            let subnet = [1 + (std::process::id() % 200) as u8, 248];
            let fleet = Fleet::start(dir, subnet, &config(1), small_fleet(248, 2, 4)).await;
            for node in fleet.nodes.iter().cycle().take(STARTS) {
                node.kill();
                node.start(&fleet.clock);
                let started_at = fleet.clock.now();
                while !node.handles_reloads() && fleet.clock.now() < started_at + MAX_START_TIME {}
                let until = fleet.clock.now() + RELOAD_DURATION;
                while fleet.clock.now() < until {
                    node.signal(rustix::process::Signal::HUP);
                }
                fleet.check_processes();
            }
            fleet.stop();
            fleet.oracle.borrow().violations.clone()
        });
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against work that is started again while it runs: a worker that has left stops listening
/// some time before its runs end.
#[test]
fn runs_of_a_worker_that_stops_listening_before_it_ends_are_not_started_again() {
    let violations = violations_while(250, async |fleet| {
        fleet.deregister_worker(0).await;
        fleet.cut_worker(0, true);
        compio::time::sleep(Duration::from_millis(1500)).await;
        fleet.crash_worker(0);
    });
    assert!(violations.is_empty(), "{violations:#?}");
}
