//! Work on a worker that is only cut off, while the record of its guard goes and another entry
//! takes over the lead: its runs go on within their lease and must not be started again.

use {
    super::{
        callers::Callers,
        config,
        fleet::Fleet,
        log_dir,
        node::{Role, Terms},
        proxy::LinkState,
        scenario::Scenario,
        wait_for_end,
    },
    compio::runtime::Runtime,
    futures_util::future::join_all,
    limpetquay::prelude::*,
    rustix::process::Signal,
};

/// The leases, stops and heartbeats of a deployment with long leases.
const LONG_LEASES: Terms = Terms {
    max_lease_ms: 10_000,
    stop_ms: 900,
    heartbeat_interval: Duration::from_millis(300),
    ..Terms::SMALL
};

/// The leases, stops and heartbeats of a deployment with leases of medium length.
const MEDIUM_LEASES: Terms = Terms {
    max_lease_ms: 6000,
    stop_ms: 200,
    heartbeat_interval: Duration::from_millis(300),
    ..Terms::SMALL
};

/// The work of each subtask, in milliseconds: longer than a worker is cut off.
const WORK_MS: u64 = 6000;

/// How long a worker is cut off: shorter than its last lease, so that its runs go on.
const CUT_DURATION: Duration = Duration::from_millis(4000);

/// How long after the loss of its worker a guard is waited for to deregister: shorter than the cut,
/// so that what follows happens during it.
const MAX_DEREGISTRATION_WAIT: Duration = Duration::from_millis(3500);

/// The distances between the loss of a worker and the fault of an entry, in milliseconds: from well
/// before to just before its guard deregisters or would.
const DISTANCES_MS: [u64; 6] = [400, 700, 1000, 1300, 1600, 1900];

/// Message of a guard that has deregistered.
const DEREGISTERED: &str = "\"message\":\"deregistered: ";

/// Returns the scenario of a small fleet without late calls.
fn scenario_of(
    entries: u8,
    guards: u8,
    terms: Terms,
) -> Scenario {
    Scenario {
        entries,
        guards,
        terms,
        ..Scenario::draw(1)
    }
}

/// A fleet whose busiest worker was just cut off and refuses connections.
struct Course {
    fleet: Rc<Fleet>,
    worker: usize,
    cut_at: Millis,
}

impl Course {
    /// Returns the entry that has claimed the lead last.
    fn leader(&self) -> usize {
        let entries = self.fleet.nodes_of_role(Role::Entry);
        let leader = entries
            .into_iter()
            .max_by_key(|e| self.fleet.nodes[*e].last_term());
        leader.expect("the fleet has entries")
    }

    /// Kills the leader, so that another entry takes over.
    fn kill_leader(&self) {
        let leader = &self.fleet.nodes[self.leader()];
        self.fleet
            .log_event(format!("kill of the leader {}", leader.name));
        leader.kill();
    }

    /// Waits until the guard of the worker has deregistered, for a limited time.
    async fn wait_for_deregistration(&self) {
        let guard = self.fleet.nodes_of_role(Role::Guard)[self.worker];
        while !self.fleet.nodes[guard].log().contains(DEREGISTERED)
            && self.fleet.clock.now().since(self.cut_at) < MAX_DEREGISTRATION_WAIT
        {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        self.fleet
            .log_event("end of the wait for the deregistration".to_owned());
    }
}

/// Runs a job on a fleet of 3 entries and 3 guards, cuts the worker off that has most of its runs,
/// lets `disturb` act for the time of the cut, and returns the violations.
async fn violations_of<F>(
    host: u8,
    terms: Terms,
    disturb: F,
) -> Vec<String>
where
    F: AsyncFnOnce(&Course),
{
    let dir = log_dir(&format!("takeover-{host}"));
    drop(std::fs::remove_dir_all(&dir));
    // Apart from the addresses of the scenarios with seeds.
    let subnet = [201 + (std::process::id() % 50) as u8, host];
    let fleet = Fleet::start(dir.clone(), subnet, &config(1), scenario_of(3, 3, terms)).await;
    let callers = Callers::new(fleet.clone());
    compio::time::sleep(Duration::from_millis(2500)).await;
    let job = callers.submit_one(6, WORK_MS).await;
    compio::time::sleep(Duration::from_millis(600)).await;
    let worker = fleet.busiest_worker();
    fleet.log_event(format!("worker {worker} is cut off"));
    fleet.cut_worker(worker, true);
    let course = Course {
        fleet: fleet.clone(),
        worker,
        cut_at: fleet.clock.now(),
    };
    let cut = async {
        compio::time::sleep(CUT_DURATION).await;
        fleet.cut_worker(worker, false);
        fleet.log_event(format!("worker {worker} is reached again"));
    };
    futures_util::join!(disturb(&course), cut);
    let state = wait_for_end(&fleet, &callers, &job).await;
    fleet.observe_workers();
    fleet.oracle.borrow_mut().check_history();
    fleet.stop();
    let mut violations = fleet.oracle.borrow().violations.clone();
    if !state.contains("completed") {
        violations.push(format!("the job has state {state}"));
    }
    let starts = fleet.oracle.borrow().starts.len();
    println!(
        "{host}: {starts} starts; {}",
        fleet.events.borrow().join("; ")
    );
    if !violations.is_empty() {
        violations.push(format!("logs: {}", dir.display()));
    }
    violations
}

/// Plays one course for each of the distances side by side, and checks that none has violations.
fn check_distances<F>(
    first_host: u8,
    terms: Terms,
    disturb: F,
) where
    F: AsyncFn(&Course, Duration),
{
    let disturb = &disturb;
    let courses = (first_host..).zip(DISTANCES_MS).map(async |(host, ms)| {
        let distance = Duration::from_millis(ms);
        let violations = violations_of(host, terms, async |c| disturb(c, distance).await).await;
        (ms, violations)
    });
    let runtime = Runtime::new().expect("the runtime can be created");
    let mut results = runtime.block_on(join_all(courses));
    results.retain(|(_, violations)| !violations.is_empty());
    assert!(results.is_empty(), "{results:#?}");
}

#[test]
fn a_leader_killed_before_a_guard_deregisters_starts_no_second_run() {
    check_distances(0, LONG_LEASES, async |course, distance| {
        compio::time::sleep(distance).await;
        course.kill_leader();
    });
}

#[test]
fn a_leader_cut_off_before_a_guard_deregisters_starts_no_second_run() {
    check_distances(10, MEDIUM_LEASES, async |course, distance| {
        compio::time::sleep(distance).await;
        let leader = &course.fleet.nodes[course.leader()];
        leader.store_link.set_state(LinkState::Refused);
        course
            .fleet
            .log_event(format!("cut of the leader {}", leader.name));
    });
}

/// Guards against entries that read the ledger without the record of a guard whose worker runs on.
#[test]
fn entries_restarted_after_a_worker_looks_gone_start_no_second_run() {
    let runtime = Runtime::new().expect("the runtime can be created");
    let courses = [(20, LONG_LEASES), (21, MEDIUM_LEASES)].map(async |(host, terms)| {
        violations_of(host, terms, async |course| {
            course.wait_for_deregistration().await;
            let entries = course.fleet.nodes_of_role(Role::Entry);
            for entry in &entries {
                course.fleet.nodes[*entry].kill();
            }
            for entry in &entries {
                course.fleet.nodes[*entry].start(&course.fleet.clock);
            }
            course
                .fleet
                .log_event("all entries are restarted".to_owned());
        })
        .await
    });
    let violations = runtime.block_on(join_all(courses)).concat();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against entries that have missed a deregistration and read the newest records after the
/// history was trimmed.
#[test]
fn entries_that_read_a_trimmed_ledger_after_a_worker_looks_gone_start_no_second_run() {
    let runtime = Runtime::new().expect("the runtime can be created");
    let violations = runtime.block_on(violations_of(30, LONG_LEASES, async |course| {
        let leader = course.leader();
        let entries = course.fleet.nodes_of_role(Role::Entry);
        let others: Vec<usize> = entries.into_iter().filter(|e| *e != leader).collect();
        compio::time::sleep(Duration::from_millis(2000)).await;
        for entry in &others {
            course.fleet.nodes[*entry].signal(Signal::STOP);
        }
        course.wait_for_deregistration().await;
        course.fleet.store.model().borrow_mut().trim_history();
        for entry in &others {
            course.fleet.nodes[*entry].signal(Signal::CONT);
        }
        course.kill_leader();
    }));
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a connection that is refused during a cut and counts as the end of a worker that
/// has deregistered.
#[test]
fn a_worker_cut_off_after_its_deregistration_has_not_ended() {
    let violations = leaving_violations_of(40, async |fleet, worker| {
        fleet.deregister_worker(worker).await;
        compio::time::sleep(Duration::from_millis(300)).await;
        fleet.cut_worker(worker, true);
        compio::time::sleep(Duration::from_millis(2500)).await;
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against an announced remaining time, which is a minimum, that counts as the end of a
/// worker that is cut off.
#[test]
fn a_worker_cut_off_after_its_remaining_time_has_not_ended() {
    let violations = leaving_violations_of(41, async |fleet, worker| {
        fleet.drain_worker(worker, 1000);
        compio::time::sleep(Duration::from_millis(700)).await;
        fleet.cut_worker(worker, true);
        compio::time::sleep(Duration::from_millis(2500)).await;
    });
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Runs a job on a fleet, lets `leave` act on the worker that has most of its runs, and ends that
/// worker. Returns the violations until the job has ended.
fn leaving_violations_of<F>(
    host: u8,
    leave: F,
) -> Vec<String>
where
    F: AsyncFnOnce(&Fleet, usize),
{
    let runtime = Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let dir = log_dir(&format!("takeover-{host}"));
        drop(std::fs::remove_dir_all(&dir));
        let subnet = [201 + (std::process::id() % 50) as u8, host];
        let fleet = Fleet::start(
            dir.clone(),
            subnet,
            &config(1),
            scenario_of(1, 3, LONG_LEASES),
        )
        .await;
        let callers = Callers::new(fleet.clone());
        compio::time::sleep(Duration::from_millis(2000)).await;
        let job = callers.submit_one(6, WORK_MS).await;
        compio::time::sleep(Duration::from_millis(600)).await;
        let worker = fleet.busiest_worker();
        let left_at = fleet.clock.now();
        leave(&fleet, worker).await;
        fleet.crash_worker(worker);
        fleet.log_event("the worker has ended".to_owned());
        let ended_at = fleet.clock.now();
        let state = wait_for_end(&fleet, &callers, &job).await;
        fleet.observe_workers();
        fleet.oracle.borrow_mut().check_history();
        fleet.stop();
        let mut violations = fleet.oracle.borrow().violations.clone();
        if !state.contains("completed") {
            violations.push(format!("the job has state {state}"));
        }
        let starts: Vec<u64> = fleet
            .oracle
            .borrow()
            .starts
            .iter()
            .map(|(at, _)| *at)
            .collect();
        println!("{host}: left at {left_at:?}, ended at {ended_at:?}, starts {starts:?}");
        if !violations.is_empty() {
            violations.push(format!("logs: {}", dir.display()));
        }
        violations
    })
}
