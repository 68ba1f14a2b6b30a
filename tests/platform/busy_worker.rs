//! A guard in virtual time whose worker carries out one call at a time and takes its time for each.

use {
    super::one_guard::{heartbeat, job_of, leader, worker},
    compio::{net::TcpListener, runtime::spawn},
    limpetquay::{
        connection::{EndKind, RunStart, StartRefusal},
        platform::stand_in::{PlannedOutcome, WorkerModel},
        prelude::*,
        process::{
            clock::VirtualClock,
            runs::{PollRequest, PollResponse, RunGuard, RunWorker, RunWorkerError, WorkerAddress},
        },
        request::RunRef,
    },
    std::cell::Cell,
};

/// The time limit of a call, as on the guard's machine.
const CALL_TIMEOUT: Millis = Millis(300);

const STEP: Duration = Duration::from_millis(10);

/// The work of each run, in milliseconds: longer than the course that is played.
const WORK_MS: u64 = 60_000;

/// A worker that handles calls one after the other, also those whose callers have given up.
struct BusyWorker {
    clock: Rc<dyn Clock>,
    model: RefCell<WorkerModel>,
    /// How long it takes for one call.
    service_time: Millis,
    /// When it has handled the calls that it has received.
    free_at: Cell<Millis>,
    orders_in_flight: Cell<usize>,
    counts: RefCell<CallCounts>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CallCounts {
    starts: usize,
    stops: usize,
    unanswered_orders: usize,
    unanswered_polls: usize,
    most_orders_in_flight: usize,
}

impl BusyWorker {
    /// Carries out `call` when its turn comes. Returns its result, or `None` if the caller gives up
    /// before.
    async fn serve<F, T>(
        self: &Rc<Self>,
        call: F,
    ) -> Option<T>
    where
        F: FnOnce(&mut WorkerModel, u64) -> T + 'static,
        T: 'static,
    {
        let now = self.clock.now();
        let handled_at = self.free_at.get().max(now) + self.service_time;
        self.free_at.set(handled_at);
        let own = self.clone();
        let serving = spawn(async move {
            own.clock.sleep(handled_at.since(own.clock.now())).await;
            call(&mut own.model.borrow_mut(), own.clock.now().0)
        });
        let is_answered = handled_at < now + CALL_TIMEOUT;
        if is_answered {
            serving.await.ok()
        } else {
            serving.detach();
            self.clock
                .sleep(Duration::from_millis(CALL_TIMEOUT.0))
                .await;
            None
        }
    }

    async fn order<F>(
        self: &Rc<Self>,
        call: F,
    ) -> Result<(), RunWorkerError>
    where
        F: FnOnce(&mut WorkerModel, u64) -> Result<(), StartRefusal> + 'static,
    {
        let in_flight = self.orders_in_flight.get() + 1;
        self.orders_in_flight.set(in_flight);
        let most = self.counts.borrow().most_orders_in_flight.max(in_flight);
        self.counts.borrow_mut().most_orders_in_flight = most;
        let result = self.serve(call).await;
        self.orders_in_flight.set(self.orders_in_flight.get() - 1);
        let Some(result) = result else {
            self.counts.borrow_mut().unanswered_orders += 1;
            return Err(RunWorkerError::NoAnswer("timed out".to_owned()));
        };
        result.map_err(RunWorkerError::Refused)
    }
}

/// The guard's client of a [`BusyWorker`].
struct Client(Rc<BusyWorker>);

impl RunWorker for Client {
    fn poll<'a>(
        &'a self,
        _: &'a WorkerAddress,
        call: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>> {
        Box::pin(async move {
            let polled = self.0.serve(move |model, now| model.poll(now, &call));
            match polled.await {
                Some(result) => result.map_err(RunWorkerError::Refused),
                None => {
                    self.0.counts.borrow_mut().unanswered_polls += 1;
                    Err(RunWorkerError::NoAnswer("timed out".to_owned()))
                }
            }
        })
    }

    fn start<'a>(
        &'a self,
        _: &'a WorkerAddress,
        token: u64,
        deadline_ms: u64,
        start: &'a RunStart,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        let start = start.clone();
        let outcome = PlannedOutcome {
            kind: EndKind::Done,
            work_ms: WORK_MS,
            save_interval_ms: 0,
        };
        Box::pin(async move {
            self.0.counts.borrow_mut().starts += 1;
            let call = move |model: &mut WorkerModel, now| {
                model.start(now, token, deadline_ms, &start, outcome)
            };
            self.0.order(call).await
        })
    }

    fn stop<'a>(
        &'a self,
        _: &'a WorkerAddress,
        token: u64,
        run: RunRef,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async move {
            self.0.counts.borrow_mut().stops += 1;
            self.0
                .order(move |model, now| model.stop(now, token, run))
                .await
        })
    }
}

/// What 200 starts in one message lead to on a worker within 5 seconds.
#[derive(Debug)]
#[expect(dead_code, reason = "the fields are read from the snapshot")]
struct Outcome {
    service_time: Millis,
    calls: CallCounts,
    /// The runs that the worker has at the end.
    running: usize,
    /// The runs that were started and have ended again.
    undone: usize,
    /// The runs that were never started, so that they can be started elsewhere.
    not_started: usize,
}

fn outcome(service_ms: u64) -> Outcome {
    let clock = VirtualClock::new();
    let cx: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let busy = Rc::new(BusyWorker {
            clock: cx.clone(),
            model: RefCell::new(WorkerModel::new(6000, 200)),
            service_time: Millis(service_ms),
            free_at: Cell::default(),
            orders_in_flight: Cell::default(),
            counts: RefCell::default(),
        });
        let client = Rc::new(Client(busy.clone()));
        let guard = Rc::new(RunGuard::new(client, cx.clone(), STEP, Millis(0)));
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let listener = TcpListener::from_std(listener).expect("a listener in the runtime");
        let _tasks = guard.start(listener);
        let (mut scheduler, name) = leader(&job_of(200, "payload"));
        scheduler.open_session(&name);
        guard.tracker.borrow_mut().open_session(1);
        guard.apply_heartbeat(heartbeat());
        assert!(guard.tracker.borrow().is_worker(&worker()));
        let mut ordered = 0;
        for at in (0..5000).step_by(10) {
            let now = cx.now();
            if at % 50 == 0 {
                scheduler.confirm_leadership(now);
                let report = guard.tracker.borrow().report(now);
                scheduler.apply_report(&name, report, now);
                // One pass only: what is refused is not ordered here again.
                if ordered == 0 {
                    scheduler.run_pass(now, now);
                }
                let orders = scheduler.next_message(&name, 1);
                ordered += orders.starts.len();
                guard.carry_out(&orders);
            }
            cx.sleep(STEP).await;
        }
        let model = busy.model.borrow();
        let calls = *busy.counts.borrow();
        Outcome {
            service_time: busy.service_time,
            calls,
            running: model.runs.len(),
            undone: model.new_ends.len(),
            not_started: ordered - model.starts.len(),
        }
    })
}

/// Guards against starts that hold each other up until none is answered in time, so that they are sent
/// again, undone and started elsewhere, and the polls beside them fail until the lease has expired.
#[test]
fn starts_in_great_number_do_not_overload_a_slow_worker() {
    insta::assert_debug_snapshot!([1, 3, 10, 30].map(outcome));
}
