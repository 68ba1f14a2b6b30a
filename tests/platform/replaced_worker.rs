//! A guard and its leader in virtual time while another worker reports to the same guard.

use {
    super::one_guard::{heartbeat, leader, listing, open_job, response, tracker},
    compio::net::TcpListener,
    hyper::{HeaderMap, Method},
    limpetquay::{
        connection::{HttpHandler, HttpRequest, RunStart},
        platform::DiscoveryApi,
        prelude::*,
        process::{
            clock::VirtualClock,
            runs::{
                PollRequest, PollResponse, RunGuard, RunWorker, RunWorkerError, WorkerAddress,
                WorkerHeartbeat,
            },
        },
        request::RunRef,
    },
    std::cell::{Cell, RefCell},
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(10);

/// When the other worker sends its first heartbeat, in milliseconds.
const REPLACED_AT: u64 = 2000;

/// The workers of one machine, by address and ID. The first one runs `run` while it lives.
struct Machine {
    clock: Rc<dyn Clock>,
    lives: RefCell<Vec<(&'static str, &'static str)>>,
    run: Cell<Option<RunRef>>,
}

impl Machine {
    fn answers(
        &self,
        worker: &WorkerAddress,
    ) -> Result<(), RunWorkerError> {
        let lives = self.lives.borrow();
        let Some((_, id)) = lives.iter().find(|(at, _)| **at == *worker.address) else {
            return Err(RunWorkerError::NotListening("refused".to_owned()));
        };
        if **id == *worker.life.id {
            Ok(())
        } else {
            Err(RunWorkerError::OtherLife)
        }
    }
}

impl RunWorker for Machine {
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        call: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>> {
        Box::pin(async move {
            self.answers(worker)?;
            let until = self.clock.now() + call.wait.into();
            while self.clock.now() < until {
                self.clock.sleep(STEP).await;
                self.answers(worker)
                    .map_err(|e| RunWorkerError::NoAnswer(e.to_string()))?;
            }
            let run = self.run.get().filter(|_| &*worker.life.id == "w-1");
            Ok(PollResponse {
                clock_ms: self.clock.now().0,
                ..listing(run)
            })
        })
    }

    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        _: u64,
        _: u64,
        start: &'a RunStart,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async move {
            self.answers(worker)?;
            self.run.set(Some(start.run));
            Ok(())
        })
    }

    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        _: u64,
        _: RunRef,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async move { self.answers(worker) })
    }
}

/// What happens on the machine at [`REPLACED_AT`].
struct Change {
    /// Whether the first worker lives on.
    lives_on: bool,
    /// The address and the ID of the other worker.
    other: (&'static str, &'static str),
    /// When the other worker started.
    started_at_ms: u64,
    /// Whether it can be reached.
    is_reachable: bool,
}

fn heartbeat_of(
    (address, id): (&str, &str),
    started_at_ms: u64,
    sequence: u64,
) -> WorkerHeartbeat {
    let mut heartbeat = heartbeat();
    heartbeat.worker.address = address.into();
    heartbeat.worker.life.id = id.into();
    heartbeat.worker.life.started_at_ms = started_at_ms;
    heartbeat.sequence = sequence;
    heartbeat
}

/// Plays a change of workers and returns when the run of the first worker is started again, there or
/// on another guard, in milliseconds after the other worker's first heartbeat, and which worker the
/// guard has at the end.
fn started_again_after(change: Change) -> (Option<u64>, Option<Arc<str>>) {
    let clock = VirtualClock::new();
    let cx: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let first = ("127.0.0.1:1", "w-1");
        let machine = Rc::new(Machine {
            clock: cx.clone(),
            lives: RefCell::new(vec![first]),
            run: Cell::new(None),
        });
        let guard = Rc::new(RunGuard::new(
            machine.clone(),
            cx.clone(),
            HEARTBEAT_INTERVAL,
            Millis(0),
        ));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let listener = TcpListener::from_std(listener).expect("a listener in the runtime");
        let _tasks = guard.start(listener);
        let (mut scheduler, name) = leader(&open_job());
        let spare = UpstreamName::from("guard-2");
        let mut spare_guard = tracker();
        let mut token = 1;
        guard.tracker.borrow_mut().open_session(token);
        spare_guard.open_session(1);
        scheduler.open_session(&name);
        scheduler.open_session(&spare);
        for now in (0..14_000).step_by(10) {
            if now == REPLACED_AT {
                let mut lives = machine.lives.borrow_mut();
                if !change.lives_on {
                    lives.clear();
                    machine.run.set(None);
                }
                if change.is_reachable {
                    lives.insert(0, change.other);
                }
            }
            let is_beat = now % 1500 == 250 || now == 0;
            if is_beat && (change.lives_on || now < REPLACED_AT) {
                guard.apply_heartbeat(heartbeat_of(first, 1, now + 1));
            }
            if now >= REPLACED_AT && (now - REPLACED_AT).is_multiple_of(1500) {
                let beat = heartbeat_of(change.other, change.started_at_ms, now + 1);
                guard.apply_heartbeat(beat);
            }
            if now == REPLACED_AT - 500 {
                scheduler.set_stored_registration(&spare, Some(1), Millis(now));
            }
            let at = cx.now();
            scheduler.confirm_leadership(at);
            spare_guard.apply_poll(1, at, at, response(true));
            scheduler.apply_report(&spare, spare_guard.report(at), at);
            if now % 50 == 0 {
                let report = guard.tracker.borrow().report(at);
                if report.token == token {
                    scheduler.apply_report(&name, report, at);
                } else {
                    // The leader closes the session and opens another one.
                    token += 1;
                    guard.tracker.borrow_mut().open_session(token);
                    scheduler.open_session(&name);
                }
                scheduler.run_pass(at, at);
                let orders = scheduler.next_message(&name, token);
                let calls = guard.tracker.borrow_mut().apply_orders(&orders, at);
                let elsewhere = scheduler.next_message(&spare, 1).starts;
                let start = orders.starts.first().or(elsewhere.first());
                if machine.run.get().is_none() && now < REPLACED_AT && !calls.is_empty() {
                    machine.run.set(start.map(|s| s.run));
                } else if start.is_some() {
                    let worker = guard.tracker.borrow().worker.clone();
                    return (now.checked_sub(REPLACED_AT), worker.map(|w| w.life.id));
                }
            }
            cx.sleep(STEP).await;
        }
        let worker = guard.tracker.borrow().worker.clone();
        (None, worker.map(|w| w.life.id))
    })
}

/// Guards against two runs of one subtask: a heartbeat that names another worker, or another address
/// of the same one, does not end the runs of a worker that goes on answering.
#[test]
fn a_heartbeat_of_another_worker_ends_no_worker_that_answers() {
    let cases = [
        ("another worker", ("127.0.0.1:2", "w-2"), 2, true),
        (
            "one that cannot be reached",
            ("127.0.0.1:2", "w-2"),
            2,
            false,
        ),
        ("another life of its ID", ("127.0.0.1:2", "w-1"), 2, false),
        ("its own new address", ("127.0.0.1:2", "w-1"), 1, true),
    ];
    let ends = cases.map(|(case, other, started_at_ms, is_reachable)| {
        let end = started_again_after(Change {
            lives_on: true,
            other,
            started_at_ms,
            is_reachable,
        });
        (case, end)
    });
    let w1: Arc<str> = "w-1".into();
    assert_eq!(
        ends,
        cases.map(|(case, ..)| (case, (None, Some(w1.clone()))))
    );
}

/// Guards against two runs of one subtask: a guard that does not describe its worker any more, because
/// a heartbeat names another one at the same address, has not seen its worker end.
#[test]
fn a_worker_that_its_guard_describes_no_more_has_not_ended() {
    let (after, _) = started_again_after(Change {
        lives_on: true,
        other: ("127.0.0.1:1", "w-2"),
        started_at_ms: 2,
        is_reachable: false,
    });
    assert_eq!(after, None);
}

/// Guards against a worker that is given up while it runs: a deregistration of an earlier life of its
/// ID arrives late.
#[test]
fn a_late_deregistration_of_an_earlier_life_ends_no_later_one() {
    let clock = VirtualClock::new();
    let cx: Rc<dyn Clock> = clock.clone();
    let is_leaving = clock.block_on(async move {
        let machine = Rc::new(Machine {
            clock: cx.clone(),
            lives: RefCell::default(),
            run: Cell::new(None),
        });
        let guard = RunGuard::new(machine, cx, HEARTBEAT_INTERVAL, Millis(6000));
        let guard = Rc::new(guard);
        let api = Rc::new(DiscoveryApi::new(guard.clone()));
        let mut is_leaving = Vec::new();
        for (started_at_ms, body) in [(1, ""), (2, "{\"born\":1}"), (2, "{\"born\":2}")] {
            let beat = heartbeat_of(("127.0.0.1:1", "w-1"), started_at_ms, 1);
            guard.apply_heartbeat(beat);
            let req = HttpRequest {
                method: Method::POST,
                path: "/Instances.Deregister/w-1".to_owned(),
                query: String::new(),
                headers: HeaderMap::new(),
                body: body.into(),
            };
            let status = api.clone().handle(req).await.status;
            let tracker = guard.tracker.borrow();
            is_leaving.push((status, tracker.is_leaving() || tracker.has_worker_ended()));
        }
        is_leaving
    });
    assert_eq!(is_leaving, [(200, true), (200, false), (200, true)]);
}

/// The time until work goes on elsewhere after a worker has crashed and another life of its machine
/// has started, at the same address or at another one.
#[test]
fn work_of_a_crashed_worker_goes_on_once_another_one_reports() {
    let cases = [
        ("same address", ("127.0.0.1:1", "w-2"), true),
        ("same ID and address", ("127.0.0.1:1", "w-1"), true),
        ("another address", ("127.0.0.1:2", "w-2"), true),
        (
            "another address, not reached",
            ("127.0.0.1:2", "w-2"),
            false,
        ),
    ];
    let ends = cases.map(|(case, other, is_reachable)| {
        let end = started_again_after(Change {
            lives_on: false,
            other,
            started_at_ms: 2,
            is_reachable,
        });
        (case, end)
    });
    insta::assert_debug_snapshot!(ends);
}
