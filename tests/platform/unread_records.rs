//! Decisions on records that are stored and were not read yet.

use {
    super::fake_store::{FakeStore, SharedStore},
    compio::runtime::spawn,
    futures_util::{future::select, pin_mut},
    hyper::{HeaderMap, Method, header::HeaderValue},
    limpetquay::{
        connection::{HttpHandler, HttpRequest, Transfer},
        platform::{CallerApi, decode_config},
        prelude::*,
        process::{
            clock::VirtualClock,
            job_service::{EarlyCancellations, JobService},
            ledger::{
                Condition, KeyedPage, KeyedRecord, KeyedStore, LeaderRecord, Ledger, LedgerKey,
                LedgerRecord, ReadRange, StoreError,
            },
            metrics::PlatformMetrics,
        },
        request::{Step, StepJob, StepJobId},
        version::QueueName,
    },
    std::cell::Cell,
};

/// How long a caller waits for its answer.
const TIME: Duration = Duration::from_secs(1);

const TOPIC: &str = "keyed.limpetquay";

/// A store whose reads return one record at a time.
struct ShortReads(Rc<FakeStore>);

impl KeyedStore for ShortReads {
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        self.0.newest_page(topic, after, transfer)
    }

    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            let mut page = self.0.read_page(range, transfer).await?;
            page.records.truncate(1);
            page.end = range.from + page.records.len() as u64;
            Ok(page)
        })
    }

    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        self.0.append(topic, records, condition)
    }
}

/// A job of one subtask.
pub fn job(id: StepJobId) -> StepJob {
    StepJob {
        id,
        queue: QueueName::from("queue"),
        account: AccountName::from("account"),
        service: "service".into(),
        priority: 0,
        attempts: 1,
        stretch_percent: 100,
        target_ms: 0,
        payload: "".into(),
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        recurrence: None,
        accepted_ms: 0,
    }
}

fn append(
    shared: &SharedStore,
    key: &LedgerKey,
    content: &LedgerRecord,
) {
    let record = key.record(content).expect("an encodable record");
    let mut model = shared.model.borrow_mut();
    let appended = model.append(TOPIC, &[record], Condition::Always);
    appended.expect("an append without a condition");
}

/// Reads a ledger once, stores the jobs 1 to 3 and a leader's record, and calls `decide`.
fn decide_on_unread<D, F, T>(decide: D) -> T
where
    D: FnOnce(Rc<dyn Clock>, Rc<Ledger>, Rc<SharedStore>) -> F + 'static,
    F: Future<Output = T>,
{
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let latency = Duration::from_millis(2);
        let store = FakeStore::new(shared.clone(), shared_clock.clone(), latency);
        let ledger = Ledger::new(Rc::new(ShortReads(store)), shared_clock.clone());
        let ledger = Rc::new(ledger);
        {
            let (reading, is_read) = (ledger.follow(), ledger.wait_until_read());
            pin_mut!(reading, is_read);
            select(reading, is_read).await;
        }
        for id in (1..=3).map(StepJobId::from_number) {
            append(&shared, &LedgerKey::Job(id), &LedgerRecord::Job(job(id)));
        }
        let leader = LedgerRecord::Leader(LeaderRecord {
            entry: EntryName::from("entry-1"),
            boot: 1,
            term: Some(1),
            resigned: false,
            nonce: 0,
        });
        append(&shared, &LedgerKey::Leader, &leader);
        decide(shared_clock, ledger, shared).await
    })
}

/// Guards against a claim beside a live leader: its record may come after the part that one read
/// returns.
#[test]
fn a_leader_record_beyond_the_first_read_is_found() {
    let is_found =
        decide_on_unread(|_, ledger, _| async move { ledger.has_unread_leader_record().await });
    assert_eq!(is_found, Ok(true));
}

/// Guards against a job that runs on although its cancellation was answered: the entry's view lags
/// behind the store, so a job that it lacks may have been accepted.
#[test]
fn a_job_that_was_not_read_yet_can_be_cancelled() {
    let outcomes = decide_on_unread(|clock, ledger, shared| async move {
        let service = JobService {
            clock,
            ledger,
            config: Rc::default(),
            is_stopping: Cell::default(),
            metrics: Rc::new(PlatformMetrics::default()),
            submissions: Rc::default(),
            max_job_bytes: usize::MAX,
            early_cancellations: EarlyCancellations::new(Duration::from_secs(120)),
        };
        let service = Rc::new(service);
        let _storing = spawn(service.clone().store_early_cancellations());
        let account = AccountName::from("account");
        let cancel = |id| service.cancel(StepJobId::from_number(id), &account, TIME);
        let stored = cancel(3).await;
        let missing = cancel(4).await;
        let records = shared.model.borrow_mut().read(TOPIC, 4).expect("a read");
        let keys = records.records.iter().map(|r| r.key.clone());
        let keys: Vec<Arc<str>> = keys.collect();
        shared.is_down.set(true);
        let unknown = cancel(5).await;
        (stored, missing, unknown, keys)
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Guards against a wrong number of pending jobs: an entry that has not read the ledger for longer than
/// the age that a number may have does not know which jobs were accepted since, and says so.
#[test]
fn pending_jobs_are_not_counted_in_an_old_view() {
    let statuses = decide_on_unread(|clock, ledger, _| async move {
        let config = r#"{"Version":1,"Routes":[{"Name":"queue","Host":"a","PathPrefix":"/queue/","Service":"s",
            "Priority":0,"Attempts":1,"Stretch":1,"TargetLatencyMs":0,"Public":true}]}"#;
        let table = decode_config(config.as_bytes()).expect("a configuration");
        let service = JobService {
            clock: clock.clone(),
            ledger,
            config: Rc::new(table.into()),
            is_stopping: Cell::default(),
            metrics: Rc::new(PlatformMetrics::default()),
            submissions: Rc::default(),
            max_job_bytes: usize::MAX,
            early_cancellations: EarlyCancellations::new(Duration::from_secs(120)),
        };
        let api = Rc::new(CallerApi::new(Rc::new(service)));
        let mut statuses = Vec::new();
        for pause_ms in [0, 1900, 700, 60_000] {
            clock.sleep(Duration::from_millis(pause_ms)).await;
            let mut req = HttpRequest {
                method: Method::GET,
                path: "/queue/".to_owned(),
                query: String::new(),
                headers: HeaderMap::new(),
                body: Bytes::new(),
            };
            req.headers.insert("host", HeaderValue::from_static("a"));
            statuses.push(api.clone().handle(req).await.status);
        }
        statuses
    });
    assert_eq!(statuses, [200, 200, 503, 503]);
}
