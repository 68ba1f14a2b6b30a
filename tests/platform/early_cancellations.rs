//! Cancellations of jobs that no entry has read, over a store that carries out appends late.

use {
    super::{
        fake_store::{FakeStore, SharedStore},
        sessions::leader_context,
        unread_records::job,
    },
    compio::runtime::{JoinHandle, spawn},
    futures_util::future::join_all,
    hyper::{HeaderMap, Method, header::HeaderValue},
    limpetquay::{
        connection::{HttpHandler, HttpRequest, Transfer},
        platform::{CallerApi, decode_config},
        prelude::*,
        process::{
            clock::VirtualClock,
            job_service::{EarlyCancellations, JobService},
            ledger::{
                Condition, KeyedPage, KeyedRecord, KeyedStore, Ledger, LedgerFold, LedgerKey,
                LedgerRecord, Member, MemberRole, ReadRange, StoreError,
            },
            metrics::PlatformMetrics,
            scheduler::run_scheduler,
        },
        request::StepJobId,
    },
    std::{cell::Cell, collections::BTreeMap},
};

const TOPIC: &str = "keyed.limpetquay";
const LATENCY: Duration = Duration::from_millis(4);
const RETENTION: Duration = Duration::from_secs(240);
const APPEND_TIMEOUT: Duration = Duration::from_millis(1200);
const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"queue","Host":"a","PathPrefix":"/queue/","Service":"s",
    "Priority":0,"Attempts":1,"Stretch":1,"TargetLatencyMs":0}],
    "Tenants":[{"Name":"one","ApiKeys":["key-1"]},{"Name":"two","ApiKeys":["key-2"]}]}"#;

/// A store that does not answer appends of jobs while `late` has a delay, and carries them out after it.
struct LateStore {
    inner: Rc<FakeStore>,
    late: Cell<Option<Duration>>,
    appends: Cell<u64>,
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
        self.appends.set(self.appends.get() + 1);
        let is_of_job = records.iter().any(|r| r.key.starts_with("job/"));
        let Some(delay) = self.late.get().filter(|_| is_of_job) else {
            return self.inner.append(topic, records, condition);
        };
        let (inner, topic, records) = (self.inner.clone(), topic.to_owned(), records.to_vec());
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

/// An entry that serves callers.
struct Entry {
    store: Rc<LateStore>,
    ledger: Rc<Ledger>,
    api: Rc<CallerApi>,
    _tasks: [JoinHandle<()>; 2],
}

impl Entry {
    fn start(
        shared: &Rc<SharedStore>,
        cx: &Rc<dyn Clock>,
    ) -> Self {
        let store = Rc::new(LateStore {
            inner: FakeStore::new(shared.clone(), cx.clone(), LATENCY),
            late: Cell::default(),
            appends: Cell::default(),
        });
        let ledger = Rc::new(Ledger::new(store.clone(), cx.clone()));
        let table = decode_config(CONFIG.as_bytes()).expect("a configuration");
        let service = Rc::new(JobService {
            clock: cx.clone(),
            ledger: ledger.clone(),
            config: Rc::new(table.into()),
            is_stopping: Cell::default(),
            metrics: Rc::new(PlatformMetrics::default()),
            submissions: Rc::default(),
            max_job_bytes: usize::MAX,
            early_cancellations: EarlyCancellations::new(RETENTION),
        });
        let follower = ledger.clone();
        Self {
            store,
            ledger,
            api: Rc::new(CallerApi::new(service.clone())),
            _tasks: [
                spawn(async move { follower.follow().await }),
                spawn(service.store_early_cancellations()),
            ],
        }
    }

    /// Calls the entry for a job, and returns the status and the body.
    async fn call(
        &self,
        method: Method,
        id: StepJobId,
        key: &'static str,
    ) -> String {
        let mut req = HttpRequest {
            method,
            path: format!("/queue/{id}"),
            query: String::new(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(br#"{"Spec":"","Steps":[{"Count":1}]}"#),
        };
        req.headers.insert("host", HeaderValue::from_static("a"));
        req.headers
            .insert("credential", HeaderValue::from_static(key));
        let response = self.api.clone().handle(req).await;
        format!(
            "{} {}",
            response.status,
            String::from_utf8_lossy(&response.body)
        )
    }
}

fn run<F, P, T>(play: P) -> T
where
    P: FnOnce(Rc<SharedStore>, Rc<dyn Clock>) -> F,
    F: Future<Output = T> + 'static,
{
    let clock = VirtualClock::new();
    let cx: Rc<dyn Clock> = clock.clone();
    clock.block_on(play(Rc::default(), cx))
}

/// Returns the ledger as a process reads it that starts now.
fn listed(
    shared: &SharedStore,
    now: Millis,
) -> LedgerFold {
    let mut fold = LedgerFold::default();
    let page = shared.model.borrow_mut().newest(TOPIC);
    for record in &page.records {
        fold.apply(record, now);
    }
    fold
}

/// Returns whether a job is known, and whether it may run.
fn job_state(
    fold: &LedgerFold,
    id: StepJobId,
) -> (bool, bool) {
    let view = fold.jobs.get(&id);
    (view.is_some(), view.is_some_and(|v| !v.is_cancelled))
}

/// Guards against a job that runs although the cancelling was acknowledged: an append of it that was
/// not answered is carried out after the cancelling, which reaches any entry. Review case 12.
#[test]
fn a_job_that_is_stored_after_it_was_cancelled_never_runs() {
    for delay_ms in [1500, 3000, 6000, 30_000] {
        for is_history_trimmed in [false, true] {
            let (answers, states) = run(|shared, cx| async move {
                let id = StepJobId::from_number(1);
                let [a, b] = [(); 2].map(|()| Entry::start(&shared, &cx));
                let c = Entry::start(&shared, &cx);
                cx.sleep(Duration::from_millis(100)).await;
                a.store.late.set(Some(Duration::from_millis(delay_ms)));
                let mut answers = vec![a.call(Method::POST, id, "key-1").await];
                a.store.late.set(None);
                answers.push(b.call(Method::DELETE, id, "key-1").await);
                answers.push(a.call(Method::DELETE, id, "key-1").await);
                answers.push(b.call(Method::GET, id, "key-1").await);
                cx.sleep(Duration::from_millis(100)).await;
                answers.push(c.call(Method::POST, id, "key-1").await);
                if is_history_trimmed {
                    shared.model.borrow_mut().trim_history();
                }
                cx.sleep(Duration::from_millis(delay_ms)).await;
                answers.push(c.call(Method::GET, id, "key-1").await);
                answers.push(c.call(Method::POST, id, "key-1").await);
                let followed = [&a, &b, &c].map(|e| e.ledger.view(|f| job_state(f, id)));
                let listed = job_state(&listed(&shared, cx.now()), id);
                (answers, (followed, listed))
            });
            // The job is known, and may not run.
            let expected = (true, false);
            assert_eq!(
                states,
                ([expected; 3], expected),
                "stored after {delay_ms} ms, trimmed {is_history_trimmed}: {answers:?}"
            );
            insta::assert_debug_snapshot!("answers_beside_a_late_submission", answers);
        }
    }
}

/// Guards against a cancelled job that runs: an entry that has not read a stored job cancels it, and tells
/// a caller the truth about one that does not exist.
#[test]
fn a_cancellation_waits_for_the_job_to_be_read() {
    let answers = run(|shared, cx| async move {
        let entry = Entry::start(&shared, &cx);
        cx.sleep(Duration::from_millis(100)).await;
        let id = StepJobId::from_number(1);
        let stored = LedgerKey::Job(id).record(&LedgerRecord::Job(job(id)));
        let stored = [stored.expect("an encodable record")];
        let appended = shared
            .model
            .borrow_mut()
            .append(TOPIC, &stored, Condition::Always);
        appended.expect("an append without a condition");
        let answers = [
            entry.call(Method::DELETE, id, "key-1").await,
            entry
                .call(Method::DELETE, StepJobId::from_number(2), "key-1")
                .await,
        ];
        (answers, job_state(&listed(&shared, cx.now()), id))
    });
    insta::assert_debug_snapshot!(answers);
}

/// Guards against a client that makes the store write without bound: an account cancels 30,000 jobs that
/// do not exist at one of three entries, beside ordinary callers.
#[test]
fn cancellations_of_unknown_jobs_are_few_appends_and_limited_by_account() {
    const CALLS: u64 = 30_000;
    const TIME_MS: u64 = 10_000;
    // One append for each grouping delay of 30 ms, and those of the jobs of the ordinary caller.
    const MAX_APPENDS: u64 = TIME_MS / 30 + 20;
    let (appends, counts, ordinary) = run(|shared, cx| async move {
        for name in ["entry-1", "entry-2", "entry-3"] {
            let member = Member {
                name: name.into(),
                role: MemberRole::Entry,
                address: "127.0.0.1:1".parse().expect("an address"),
                registration: 1,
                job_bytes: None,
            };
            let record = LedgerKey::Member(name.into()).record(&LedgerRecord::Member(member));
            let record = [record.expect("an encodable record")];
            let mut model = shared.model.borrow_mut();
            let appended = model.append(TOPIC, &record, Condition::Always);
            appended.expect("an append without a condition");
        }
        let entry = Rc::new(Entry::start(&shared, &cx));
        cx.sleep(Duration::from_millis(100)).await;
        let flood = (0..CALLS).map(|n| {
            let (entry, cx) = (entry.clone(), cx.clone());
            async move {
                cx.sleep(Duration::from_millis(n * TIME_MS / CALLS)).await;
                let id = StepJobId::from_number(1_000_000 + n);
                entry.call(Method::DELETE, id, "key-1").await
            }
        });
        let flood = spawn(join_all(flood.collect::<Vec<_>>()));
        let mut ordinary = Vec::new();
        for n in 0..20 {
            cx.sleep(Duration::from_millis(400)).await;
            let id = StepJobId::from_number(n);
            ordinary.push(entry.call(Method::DELETE, id, "key-2").await);
            let id = StepJobId::from_number(100 + n);
            ordinary.push(entry.call(Method::POST, id, "key-2").await);
        }
        let answers = flood.await.expect("the calls");
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for answer in answers {
            *counts.entry(answer).or_default() += 1;
        }
        ordinary.sort();
        ordinary.dedup();
        (entry.store.appends.get(), counts, ordinary)
    });
    assert!(appends <= MAX_APPENDS, "{appends} appends");
    insta::assert_debug_snapshot!((counts, ordinary));
}

/// Guards against a ledger that grows without bound, and against a cancellation that is dropped too early:
/// the leader drops one whose job was never stored after the retention, also while others store records.
#[test]
fn the_leader_drops_early_cancellations_after_their_retention() {
    let kept = run(|shared, cx| async move {
        let leader = leader_context(&shared, &cx);
        let (retention, ledger) = (leader.retention, leader.election.ledger.clone());
        let _following = spawn(async move { ledger.follow().await });
        let _leading = spawn(run_scheduler(leader));
        let entry = Entry::start(&shared, &cx);
        cx.sleep(Duration::from_secs(5)).await;
        for n in 0..600 {
            let id = StepJobId::from_number(n);
            assert_eq!(
                entry.call(Method::DELETE, id, "key-1").await,
                "410 there is no such job"
            );
        }
        let began = cx.now();
        let count = |keys: &SharedStore| {
            let page = keys.model.borrow_mut().newest(TOPIC);
            page.records
                .iter()
                .filter(|r| r.key.starts_with("cancel/"))
                .count()
        };
        let mut kept = vec![count(&shared)];
        let is_before = retention.saturating_sub(Duration::from_secs(130));
        cx.sleep(is_before).await;
        kept.push(count(&shared));
        // Another entry stores a record every 20 ms.
        while cx.now().since(began) < retention + Duration::from_secs(10) {
            cx.sleep(Duration::from_millis(20)).await;
            let other = KeyedRecord {
                key: "lead-of-another".into(),
                value: Some(Bytes::from_static(b"?")),
                offset: 0,
            };
            let mut model = shared.model.borrow_mut();
            let appended = model.append(TOPIC, &[other], Condition::Always);
            appended.expect("an append without a condition");
        }
        kept.push(count(&shared));
        kept
    });
    assert_eq!(kept, [600, 600, 0]);
}
