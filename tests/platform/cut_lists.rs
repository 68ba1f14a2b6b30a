//! What the scheduler concludes from lists that may be cut short and from records that are missing: a
//! worker lists 500 ends at a time.

use {
    super::{
        one_guard::{open_job, response, scheduler, tracker, worker},
        world::{Faults, World},
    },
    compio::runtime::{Runtime, spawn},
    limpetquay::{
        connection::{
            GuardReport, HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer, WorkerView,
        },
        platform::HttpRunWorker,
        prelude::*,
        process::{
            clock::SystemClock,
            runs::{PollRequest, RunTracker, RunWorker, WorkerAddress},
        },
        request::{JobPhase, Resources, Step, StepJobId},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::collections::BTreeSet,
};

/// What happens while more ends wait for their acknowledgement than a worker lists.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    Nothing,
    SessionBreak,
    GuardPause,
    GuardPartition,
    GuardRestart,
    Takeover,
    TakeoverAndGuardRestart,
    Cancellation,
    CancellationAndGuardRestart,
}

/// What was seen of ten jobs of 100 subtasks each.
#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read from the snapshot")]
struct Outcome {
    meanwhile: Meanwhile,
    /// The first violations of each time at which it happens.
    violations: Vec<String>,
    phases: BTreeSet<JobPhase>,
    running: usize,
}

fn submit_jobs(world: &mut World) -> Vec<StepJobId> {
    let step = Step {
        count: 100,
        demand: Resources {
            cpu_milli: 100,
            memory_mb: 100,
            accelerators: 0,
        },
        estimate_ms: 3000,
        ..Step::default()
    };
    (0..10)
        .map(|_| world.submit(vec![step.clone()], 1, 4))
        .collect()
}

fn play(
    meanwhile: Meanwhile,
    at: u64,
) -> World {
    let mut world = World::new(at, 1, Faults::default());
    world.run_for(1000);
    let ids = submit_jobs(&mut world);
    world.run_for(600);
    world.stop_store(4500);
    world.run_for(at);
    match meanwhile {
        Meanwhile::Nothing => {}
        Meanwhile::SessionBreak => world.break_session(0),
        Meanwhile::GuardPause => world.pause_guard(0, 1000),
        Meanwhile::GuardPartition => world.partition_guard(0, 1000),
        Meanwhile::GuardRestart => world.restart_guard(0, 300),
        Meanwhile::Takeover => world.take_over(),
        Meanwhile::TakeoverAndGuardRestart => {
            world.take_over();
            world.restart_guard(0, 300);
        }
        Meanwhile::Cancellation => ids.iter().for_each(|id| world.cancel(*id)),
        Meanwhile::CancellationAndGuardRestart => {
            ids.iter().for_each(|id| world.cancel(*id));
            world.restart_guard(0, 300);
        }
    }
    world.run_for(14_000);
    world.oracle.check_history();
    world
}

/// Plays one fault before and after the worker has more ends than it lists.
fn outcome(meanwhile: Meanwhile) -> Outcome {
    let worlds = [1500, 3500].map(|at| play(meanwhile, at));
    let violations = worlds.iter().flat_map(|w| w.oracle.violations.first());
    let ids = worlds
        .iter()
        .flat_map(|w| w.oracle.jobs.keys().map(move |id| (w, *id)));
    let phases = ids.map(|(w, id)| w.progress(id).phase());
    Outcome {
        meanwhile,
        violations: violations.cloned().collect(),
        phases: phases.collect(),
        running: worlds.iter().map(World::running).sum(),
    }
}

/// Guards against subtasks that run again although they have ended: while the store is down, more
/// ends wait on a worker than it lists, and neither its runs nor its ends show the others. Review
/// case 5.
#[test]
fn ends_beyond_the_listed_ones_do_not_run_again() {
    let all = [
        Meanwhile::Nothing,
        Meanwhile::SessionBreak,
        Meanwhile::GuardPause,
        Meanwhile::GuardPartition,
        Meanwhile::GuardRestart,
        Meanwhile::Takeover,
        Meanwhile::TakeoverAndGuardRestart,
        Meanwhile::Cancellation,
        Meanwhile::CancellationAndGuardRestart,
    ];
    insta::assert_debug_snapshot!(all.map(outcome));
}

/// Guards against a leader that takes a run for lost because a report lacks it: that counts only if
/// the report has all runs and ends, and from then on at once, also for runs that an earlier session
/// ordered. A leader that takes over does not start a job again before such a report.
#[test]
fn a_missing_run_is_lost_only_by_a_complete_report() {
    let name = UpstreamName::from("guard-1");
    let mut scheduler = scheduler(2, &[&name]);
    let mut course = Vec::new();
    let mut job = open_job();
    job.progress.stamp.term = 1;
    scheduler.apply_job(&job);
    scheduler.mark_recorded(job.job.id, 1);
    scheduler.set_stored_registration(&name, Some(1), Millis(0));
    let mut guard = tracker();
    for (token, is_complete) in [(1, false), (1, true), (2, false), (2, false), (2, true)] {
        let now = Millis(100 * (course.len() as u64 + 1));
        if guard.open_session(token) {
            scheduler.open_session(&name);
        }
        guard.apply_poll(token, now, now, response(is_complete));
        scheduler.confirm_leadership(now);
        scheduler.apply_report(&name, guard.report(now), now);
        let kept = scheduler.upstreams[&name].runs.len();
        scheduler.run_pass(now, now);
        // Messages without orders raise the number of the one that orders a start.
        let numbers = [(); 5].map(|()| scheduler.next_message(&name, token).number);
        let runs = scheduler.upstreams[&name].runs.keys();
        course.push(format!(
            "token {token}, message {}, complete {is_complete}: {kept} kept, then {:?}",
            numbers[4],
            runs.map(ToString::to_string).collect::<Vec<_>>()
        ));
    }
    insta::assert_debug_snapshot!(course);
}

/// Answers each poll with the next of its bodies.
struct PolledWorker(RefCell<Vec<Value>>);

impl HttpHandler for PolledWorker {
    fn handle(
        self: Rc<Self>,
        _req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        let body = self.0.borrow_mut().remove(0);
        Box::pin(async move { HttpResponse::json(200, &body) })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        1 << 20
    }
}

fn ended_rows(count: u64) -> Vec<Value> {
    let rows = (1..=count).map(|n| json!([n, format!("00000000000000aa.0.0.{n}"), 1, "done", ""]));
    rows.collect()
}

/// Guards against a list that is taken for complete although the worker lists 500 ends at a time, or
/// a row cannot be read.
#[test]
fn a_response_with_the_most_ends_or_a_malformed_row_is_not_complete() {
    let running = json!([["00000000000000aa.0.1.0", 1, "", 40]]);
    let mut with_unknown_end = ended_rows(2);
    with_unknown_end.push(json!([3, "00000000000000aa.0.0.3", 1, "vanished", ""]));
    let bodies = [
        (
            "few ends",
            json!({"ClockMs": 1, "Running": running, "Ended": ended_rows(3)}),
        ),
        (
            "499 ends",
            json!({"ClockMs": 1, "Running": running, "Ended": ended_rows(499)}),
        ),
        (
            "500 ends",
            json!({"ClockMs": 1, "Running": running, "Ended": ended_rows(500)}),
        ),
        (
            "an unknown end",
            json!({"ClockMs": 1, "Running": running, "Ended": with_unknown_end}),
        ),
        (
            "a malformed run",
            json!({"ClockMs": 1, "Running": [["?", 1]], "Ended": []}),
        ),
    ];
    let names = bodies.clone().map(|(name, _)| name);
    let lists = Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let any = "127.0.0.1:0".parse().expect("an address");
        let bodies = bodies.map(|(_, body)| body).into();
        let handler = Rc::new(PolledWorker(RefCell::new(bodies)));
        let server = HttpServer::bind(any, handler).await.expect("a server");
        let address = server.local_addr().expect("an address");
        spawn(server.run(std::future::pending())).detach();
        let client = HttpRunWorker::new(HttpClient::new(clock));
        let worker = WorkerAddress {
            address: address.to_string().into(),
            ..worker()
        };
        let call = PollRequest {
            token: 1,
            acknowledged_end: 0,
            deadline_ms: None,
            wait: Duration::ZERO,
        };
        let mut lists = Vec::new();
        for name in names {
            let response = client.poll(&worker, call).await.expect("a response");
            let (running, ended) = (response.running.len(), response.ended.len());
            lists.push((name, running, ended, response.is_complete));
        }
        lists
    });
    insta::assert_debug_snapshot!(lists);
}

/// A guard's report as the version before `lists_all_runs` encodes it.
#[derive(Deserialize, Serialize)]
struct EarlierGuardReport {
    token: u64,
    handled: u64,
    clock_ms: u64,
    highest_token: u64,
    worker: WorkerView,
    registration: Option<u64>,
    lease_age_ms: Option<u64>,
}

/// A guard's report as the version before `data_centre` encodes it.
#[derive(Deserialize, Serialize)]
struct PreviousGuardReport {
    earlier: EarlierGuardReport,
    lists_all_runs: bool,
}

/// Guards against entries and guards of consecutive versions that do not understand each other: a
/// report without the last two fields counts as complete and names no data centre, one without the
/// last field names none, and an earlier reader ignores the fields that it does not know.
#[test]
fn reports_of_the_earlier_version_are_read() {
    let mut tracker = tracker();
    tracker.open_session(1);
    tracker.data_centre = Some(DataCentre::from("north"));
    let report = tracker.report(Millis(7));
    let earlier = EarlierGuardReport {
        token: report.token,
        handled: report.last_handled,
        clock_ms: report.clock_ms,
        highest_token: report.highest_token,
        worker: report.worker.clone(),
        registration: report.registration,
        lease_age_ms: report.lease_age_ms,
    };
    let previous = PreviousGuardReport {
        earlier,
        lists_all_runs: report.lists_all_runs,
    };
    let earlier = postcard::to_stdvec(&previous.earlier).expect("an encoded report");
    let previous = postcard::to_stdvec(&previous).expect("an encoded report");
    let encoded = postcard::to_stdvec(&report).expect("an encoded report");
    assert_eq!(previous[..previous.len() - 1], earlier);
    // The last field takes a byte that says whether there is a name, its length and five letters.
    assert_eq!(encoded[..encoded.len() - 7], previous);
    let by_previous: PreviousGuardReport = postcard::from_bytes(&encoded).expect("a report");
    assert_eq!(by_previous.lists_all_runs, report.lists_all_runs);
    let read: GuardReport = postcard::from_bytes(&encoded).expect("a report");
    assert_eq!(read.data_centre, report.data_centre);
    let read: GuardReport = postcard::from_bytes(&previous).expect("a report");
    let read = (read.lists_all_runs, read.data_centre);
    assert_eq!(read, (report.lists_all_runs, None));
    let read: GuardReport = postcard::from_bytes(&earlier).expect("a report");
    insta::assert_debug_snapshot!((report.lists_all_runs, read));
}

/// Returns when a job of an earlier scheduler starts on another worker, in milliseconds, if the
/// record of the guard that may run it is removed at 500 ms. The guard knows nothing of its worker.
/// `departure` is when the worker's last lease expires, if the removal says so.
fn started_elsewhere_at(departure: Option<u64>) -> Option<u64> {
    let [silent, other] = ["guard-1", "guard-2"].map(UpstreamName::from);
    let mut scheduler = scheduler(2, &[&silent, &other]);
    let mut job = open_job();
    job.progress.stamp.term = 1;
    scheduler.apply_job(&job);
    scheduler.mark_recorded(job.job.id, 1);
    let mut guard = tracker();
    guard.open_session(1);
    for name in [&silent, &other] {
        scheduler.set_stored_registration(name, Some(1), Millis(0));
        scheduler.open_session(name);
    }
    (0..12_000).step_by(100).find(|at| {
        let now = Millis(*at);
        scheduler.confirm_leadership(now);
        scheduler.apply_report(&silent, RunTracker::default().report(now), now);
        guard.apply_poll(1, now, now, response(true));
        scheduler.apply_report(&other, guard.report(now), now);
        if *at >= 500 && scheduler.upstreams.contains_key(&silent) {
            scheduler.set_stored_registration(&silent, None, now);
            if let Some(expire_at) = departure {
                scheduler.apply_departure(&silent, Millis(expire_at), now);
            }
            if scheduler.is_removable(&silent, now) {
                scheduler.remove_guard(&silent, now);
            }
        }
        scheduler.run_pass(now, now);
        !scheduler.upstreams[&other].runs.is_empty()
    })
}

/// Guards against work that starts a second time because the record of a guard is gone: a guard
/// deregisters while its worker, which may only be cut off, has a lease, and a leader that took over
/// just before does not know the runs there.
#[test]
fn a_missing_record_ends_no_run_of_an_earlier_leader() {
    insta::assert_debug_snapshot!([
        ("the lease is unknown", started_elsewhere_at(None)),
        ("the lease lasts", started_elsewhere_at(Some(5600))),
        ("the lease has expired", started_elsewhere_at(Some(400))),
    ]);
}
