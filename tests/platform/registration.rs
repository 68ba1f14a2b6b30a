//! The registration of guards in virtual time, over a store that carries out appends late.

use {
    super::fake_store::{FakeStore, SharedStore},
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{
        connection::{RunStart, Transfer, WorkerIncarnation},
        prelude::*,
        process::{
            clock::VirtualClock,
            ledger::{
                Condition, KeyedPage, KeyedRecord, KeyedStore, Ledger, LedgerFold, Member,
                MemberRole, ReadRange, StoreError,
            },
            runs::{
                PollRequest, PollResponse, RunGuard, RunWorker, RunWorkerError, WorkerAddress,
                WorkerHeartbeat, WorkerInfo, keep_registered,
            },
        },
        request::{Resources, RunRef},
    },
    std::cell::Cell,
};

const TOPIC: &str = "keyed.limpetquay";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

/// The timeout of an append without an answer.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1200);

/// A worker that is never called.
struct UnusedWorker;

impl RunWorker for UnusedWorker {
    fn poll<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>> {
        Box::pin(async { Err(RunWorkerError::OtherLife) })
    }

    fn start<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: u64,
        _: u64,
        _: &'a RunStart,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async { Err(RunWorkerError::OtherLife) })
    }

    fn stop<'a>(
        &'a self,
        _: &'a WorkerAddress,
        _: u64,
        _: RunRef,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async { Err(RunWorkerError::OtherLife) })
    }
}

/// A store that does not answer appends with a tombstone, and carries them out after a delay if their
/// condition still holds.
struct LateStore {
    inner: Rc<FakeStore>,
    delay: Duration,
    late_appends: Rc<Cell<u32>>,
}

impl KeyedStore for LateStore {
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        self.inner.newest_page(topic, after, transfer)
    }

    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        self.inner.read_page(range, transfer)
    }

    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        if records.iter().all(|r| r.value.is_some()) {
            return self.inner.append(topic, records, condition);
        }
        self.late_appends.set(self.late_appends.get() + 1);
        let (inner, delay) = (self.inner.clone(), self.delay);
        let (topic, records) = (topic.to_owned(), records.to_vec());
        spawn(async move {
            inner.clock.sleep(delay).await;
            let mut model = inner.shared.model.borrow_mut();
            // Nobody receives the answer.
            drop(model.append(&topic, &records, condition));
        })
        .detach();
        Box::pin(async move {
            self.inner.clock.sleep(APPEND_TIMEOUT).await;
            Err(StoreError::Unknown("no answer".to_owned()))
        })
    }
}

fn heartbeat(
    incarnation: u64,
    sequence: u64,
) -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: WorkerAddress {
            address: "127.0.0.1:1".into(),
            life: WorkerIncarnation {
                id: format!("w-{incarnation}").into(),
                started_at_ms: incarnation,
            },
        },
        sequence,
        info: WorkerInfo {
            service: "service".into(),
            capacity: Resources::default(),
            labels: vec!["r1".into()],
            leaving_ms: None,
        },
    }
}

/// What is known of the guard at the end of a play.
#[derive(Debug, Eq, PartialEq)]
struct GuardAtEnd {
    /// Whether a reader of the whole ledger knows it.
    is_followed: bool,
    /// Whether a reader of the newest records knew it whenever it used the new worker.
    is_always_listed: bool,
    /// Whether it uses the new worker.
    has_worker: bool,
}

const KNOWN: GuardAtEnd = GuardAtEnd {
    is_followed: true,
    is_always_listed: true,
    has_worker: true,
};

/// Returns whether the ledger that results from records has the guard.
fn has_guard(
    page: &KeyedPage,
    now: Millis,
) -> bool {
    let mut fold = LedgerFold::default();
    for record in &page.records {
        fold.apply(record, now);
    }
    fold.members.contains_key("guard-1")
}

/// Ends the first worker of a guard: it deregisters, and its last lease expires.
async fn end_worker(
    guard: &RunGuard,
    cx: &dyn Clock,
) {
    guard.apply_deregistration("w-1", None);
    cx.sleep(Duration::from_millis(200)).await;
    let has_ended = guard.tracker.borrow_mut().end_expired_departure(cx.now());
    assert!(has_ended, "the worker goes on");
    guard.changed.notify(usize::MAX);
}

fn start_guard(
    store: Rc<dyn KeyedStore>,
    cx: &Rc<dyn Clock>,
) -> (Rc<RunGuard>, JoinHandle<()>) {
    let ledger = Rc::new(Ledger::new(store, cx.clone()));
    let worker = Rc::new(UnusedWorker);
    let guard = RunGuard::new(worker, cx.clone(), HEARTBEAT_INTERVAL, Millis(0));
    let guard = Rc::new(guard);
    let member = Member {
        name: "guard-1".into(),
        role: MemberRole::Guard,
        address: "127.0.0.1:1".parse().expect("an address"),
        registration: 1,
        job_bytes: None,
    };
    guard.apply_heartbeat(heartbeat(1, 1));
    let registering = keep_registered(guard.clone(), ledger, cx.clone(), member);
    (guard, spawn(registering))
}

/// Plays a worker that ends and is back after `away`, while the store carries out the guard's
/// deregistration after `delay` and no entry runs that would store a record again.
fn play_return(
    away: Duration,
    delay: Duration,
) -> GuardAtEnd {
    let clock = VirtualClock::new();
    let cx: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let inner = FakeStore::new(shared.clone(), cx.clone(), Duration::from_millis(3));
        let late_appends: Rc<Cell<u32>> = Rc::default();
        let store = LateStore {
            inner,
            delay,
            late_appends: late_appends.clone(),
        };
        let (guard, _registered) = start_guard(Rc::new(store), &cx);
        cx.sleep(Duration::from_millis(500)).await;
        end_worker(&guard, &*cx).await;
        cx.sleep(away).await;
        assert_eq!(late_appends.get(), 1, "deregistrations");
        let mut is_always_listed = true;
        for sequence in 1..10 {
            guard.apply_heartbeat(heartbeat(2, sequence));
            // Sessions go on, so the guard has no other reason to register again.
            guard.tracker.borrow_mut().last_orders_at = cx.now();
            for _ in 0..15 {
                cx.sleep(HEARTBEAT_INTERVAL / 15).await;
                let is_used = guard.tracker.borrow().worker.is_some();
                let page = shared.model.borrow_mut().newest(TOPIC);
                is_always_listed &= !is_used || has_guard(&page, cx.now());
            }
        }
        let page = shared.model.borrow_mut().read(TOPIC, 0);
        let has_worker = guard.tracker.borrow().worker.is_some();
        GuardAtEnd {
            is_followed: has_guard(&page.expect("the records"), cx.now()),
            is_always_listed,
            has_worker,
        }
    })
}

/// Guards against work that is started again elsewhere while it runs: a deregistration without an
/// answer that the store carries out late must not remove a later registration of the guard.
/// Review case 2.
#[test]
fn a_late_deregistration_removes_no_later_registration() {
    for away_ms in (2600..5000).step_by(400) {
        for delay_ms in (0..6000).step_by(500) {
            let away = Duration::from_millis(away_ms);
            let end = play_return(away, Duration::from_millis(delay_ms));
            assert!(
                end.is_followed && end.has_worker,
                "away {away_ms} ms, done after {delay_ms} ms: {end:?}"
            );
        }
    }
}

/// Guards against work that is started again elsewhere while it runs: entries that start after the
/// store has carried out an unanswered deregistration read a list of the newest records, which must have
/// each guard that uses a worker. Review case 11.
#[test]
fn a_late_deregistration_hides_no_guard_from_a_list() {
    for away_ms in (2600..5000).step_by(400) {
        for delay_ms in (0..9000).step_by(500) {
            let end = play_return(
                Duration::from_millis(away_ms),
                Duration::from_millis(delay_ms),
            );
            assert_eq!(end, KNOWN, "away {away_ms} ms, done after {delay_ms} ms");
        }
    }
}

/// Guards against a guard that stays registered for good, so that each new leader waits for it: others
/// store records all the time, so that the condition of a deregistration often does not hold.
#[test]
fn a_guard_deregisters_while_others_store_records() {
    for interval_ms in [2, 5, 11, 40] {
        let clock = VirtualClock::new();
        let cx: Rc<dyn Clock> = clock.clone();
        let is_registered = clock.block_on(async move {
            let shared: Rc<SharedStore> = Rc::default();
            let store = FakeStore::new(shared.clone(), cx.clone(), Duration::from_millis(3));
            let (guard, _registered) = start_guard(store, &cx);
            cx.sleep(Duration::from_millis(500)).await;
            end_worker(&guard, &*cx).await;
            let other = KeyedRecord {
                key: "lead".into(),
                value: Some(Bytes::from_static(b"?")),
                offset: 0,
            };
            // The others are done after eight seconds, and each pauses now and then before.
            for n in 0..8000 / interval_ms {
                let pause = if n % 50 == 0 { 25 } else { interval_ms };
                cx.sleep(Duration::from_millis(pause)).await;
                let others = [other.clone()];
                let mut model = shared.model.borrow_mut();
                let appended = model.append(TOPIC, &others, Condition::Always);
                appended.expect("an append without a condition");
            }
            cx.sleep(Duration::from_millis(1100)).await;
            let page = shared.model.borrow_mut().newest(TOPIC);
            has_guard(&page, cx.now())
        });
        assert!(
            !is_registered,
            "the others store a record each {interval_ms} ms"
        );
    }
}
