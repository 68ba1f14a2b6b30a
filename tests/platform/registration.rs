//! The registration of guards in virtual time, over a store that carries out appends late.

use {
    super::fake_store::{FakeStore, SharedStore},
    compio::runtime::spawn,
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

/// A store that does not answer appends with a tombstone, and carries them out after a delay.
struct LateStore {
    inner: Rc<FakeStore>,
    delay: Duration,
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
        let (inner, delay) = (self.inner.clone(), self.delay);
        let (topic, records) = (topic.to_owned(), records.to_vec());
        spawn(async move {
            inner.clock.sleep(delay).await;
            let mut model = inner.shared.model.borrow_mut();
            model
                .append(&topic, &records, condition)
                .expect("an append without a condition");
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

/// Plays a worker that ends and is back after `away`, while the store carries out the guard's
/// deregistration after `delay`. Returns whether every reader of the whole ledger knows the guard
/// at the end, and whether the guard has the new worker.
fn registered_at_the_end(
    away: Duration,
    delay: Duration,
) -> (bool, bool) {
    let clock = VirtualClock::new();
    let cx: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let inner = FakeStore::new(shared.clone(), cx.clone(), Duration::from_millis(3));
        let store = Rc::new(LateStore { inner, delay });
        let ledger = Rc::new(Ledger::new(store, cx.clone()));
        let guard = Rc::new(RunGuard::new(
            Rc::new(UnusedWorker),
            cx.clone(),
            HEARTBEAT_INTERVAL,
            Millis(0),
        ));
        let member = Member {
            name: "guard-1".into(),
            role: MemberRole::Guard,
            address: "127.0.0.1:1".parse().expect("an address"),
            registration: 1,
            job_bytes: None,
        };
        guard.apply_heartbeat(heartbeat(1, 1));
        let _registered = spawn(keep_registered(guard.clone(), ledger, cx.clone(), member));
        cx.sleep(Duration::from_millis(500)).await;
        guard.apply_deregistration("w-1", None);
        cx.sleep(away).await;
        for sequence in 1..10 {
            guard.apply_heartbeat(heartbeat(2, sequence));
            // Sessions go on, so the guard has no other reason to register again.
            guard.tracker.borrow_mut().last_orders_at = cx.now();
            cx.sleep(HEARTBEAT_INTERVAL).await;
        }
        let page = shared
            .model
            .borrow_mut()
            .read(TOPIC, 0)
            .expect("the records");
        let mut fold = LedgerFold::default();
        for record in &page.records {
            fold.apply(record, cx.now());
        }
        let has_worker = guard.tracker.borrow().worker.is_some();
        (fold.members.contains_key("guard-1"), has_worker)
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
            let end = registered_at_the_end(away, Duration::from_millis(delay_ms));
            assert_eq!(
                end,
                (true, true),
                "away {away_ms} ms, done after {delay_ms} ms"
            );
        }
    }
}
