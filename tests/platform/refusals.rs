//! What callers are told about submissions that the store has definitely refused.

use {
    super::{
        fake_store::{FakeStore, SharedStore},
        unread_records::job,
    },
    compio::runtime::{Runtime, spawn},
    futures_util::{
        future::{join, select},
        pin_mut,
    },
    hyper::{HeaderMap, Method},
    limpetquay::{
        connection::{HttpClient, HttpClientError, HttpHandler, HttpRequest, Transfer},
        platform::{CallerApi, decode_config, retry_after_seconds},
        prelude::*,
        process::{
            clock::{SystemClock, VirtualClock},
            job_service::{DeskError, EarlyCancellations, JobService},
            ledger::{
                Condition, KeyedPage, KeyedRecord, KeyedStore, Ledger, ReadRange, StoreError,
            },
            limits::SubmissionBudget,
            metrics::PlatformMetrics,
        },
        request::StepJobId,
    },
    std::{
        cell::Cell,
        collections::BTreeSet,
        net::{TcpListener, TcpStream},
    },
};

/// A store that refuses each append after some time.
struct RefusingStore {
    inner: Rc<FakeStore>,
    clock: Rc<dyn Clock>,
    delay: Duration,
}

impl KeyedStore for RefusingStore {
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
        _topic: &'a str,
        _records: &'a [KeyedRecord],
        _condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            self.clock.sleep(self.delay).await;
            Err(StoreError::Refused("status 503".to_owned()))
        })
    }
}

fn service(
    clock: Rc<dyn Clock>,
    store: Rc<dyn KeyedStore>,
) -> JobService {
    JobService {
        ledger: Rc::new(Ledger::new(store, clock.clone())),
        clock,
        config: Rc::default(),
        is_stopping: Cell::default(),
        metrics: Rc::new(PlatformMetrics::default()),
        submissions: Rc::default(),
        max_job_bytes: usize::MAX,
        early_cancellations: EarlyCancellations::new(Duration::from_secs(120)),
    }
}

/// Submits a job to a store that refuses each append after `delay`, and returns the result and the
/// time that it took, in milliseconds.
fn submit_to_refusing_store(
    delay: Duration,
    time: Duration,
) -> (Result<(), DeskError>, u64) {
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let latency = Duration::from_millis(2);
        let store = RefusingStore {
            inner: FakeStore::new(shared, shared_clock.clone(), latency),
            clock: shared_clock.clone(),
            delay,
        };
        let service = service(shared_clock.clone(), Rc::new(store));
        {
            let (reading, is_read) = (service.ledger.follow(), service.ledger.wait_until_read());
            pin_mut!(reading, is_read);
            select(reading, is_read).await;
        }
        let began = shared_clock.now();
        let result = service.submit(job(StepJobId::from_number(1)), time).await;
        (result, (shared_clock.now() - began).0)
    })
}

/// Guards against a 504 for a job that was refused in every attempt: the last one was cut off by the
/// caller's deadline, so that its outcome was unknown.
#[test]
fn a_job_that_the_store_refuses_is_never_reported_as_unknown() {
    for delay in [0, 20, 60, 100, 150, 250, 400].map(Duration::from_millis) {
        // A first attempt is made with any deadline, and may be cut off.
        for time_ms in (delay.as_millis() as u64 + 50..1400).step_by(50) {
            let time = Duration::from_millis(time_ms);
            let (result, elapsed_ms) = submit_to_refusing_store(delay, time);
            assert_eq!(result, Err(DeskError::NotStored), "{delay:?} {time:?}");
            assert!(elapsed_ms <= time_ms, "{delay:?} {time:?} {elapsed_ms}");
        }
    }
}

/// Guards against submissions that hold more than the process may, and against a refusal of one that is
/// stored afterwards.
#[test]
fn a_submission_beyond_the_budget_is_refused_and_never_stored() {
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    let (results, stored) = clock.block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let latency = Duration::from_millis(50);
        let store = FakeStore::new(shared.clone(), shared_clock.clone(), latency);
        let mut service = service(shared_clock.clone(), store);
        service.submissions = Rc::new(SubmissionBudget::new(1));
        let ledger = service.ledger.clone();
        let _following = spawn(async move { ledger.follow().await });
        service.ledger.wait_until_read().await;
        let time = Duration::from_secs(1);
        let submit = |n| service.submit(job(StepJobId::from_number(n)), time);
        let (first, second) = join(submit(1), submit(2)).await;
        shared_clock.sleep(Duration::from_secs(2)).await;
        let results = [first, second, submit(3).await];
        let records = shared.model.borrow_mut().read("keyed.limpetquay", 0);
        let records = records.expect("a read").records;
        let keys: Vec<Arc<str>> = records.iter().map(|r| r.key.clone()).collect();
        (results, keys)
    });
    assert_eq!(results, [Ok(()), Err(DeskError::Overloaded), Ok(())]);
    assert_eq!(stored.len(), 2, "{stored:?}");
}

/// Guards against retries of all callers at once, and against those that come after the caller's
/// deadline although an earlier one would not.
#[test]
fn retries_are_spread_and_fit_the_deadline() {
    for remaining_ms in (0..10_000).step_by(100) {
        let remaining = Duration::from_millis(remaining_ms);
        let times: BTreeSet<u64> = (0..100)
            .map(|r| retry_after_seconds(remaining, r))
            .collect();
        let latest = (remaining_ms.saturating_sub(500) / 1000).clamp(1, 4);
        assert_eq!(times, (1..=latest).collect(), "{remaining_ms} ms");
    }
}

/// Guards against a `retry-after` that is the same for all callers.
#[test]
fn a_rejected_caller_gets_a_retry_time_within_its_deadline() {
    let times = Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let latency = Duration::from_millis(2);
        let store = FakeStore::new(Rc::default(), clock.clone(), latency);
        let api = Rc::new(CallerApi::new(Rc::new(service(clock, store))));
        let mut times = BTreeSet::new();
        for _ in 0..100 {
            let mut headers = HeaderMap::new();
            headers.insert("deadline-ms", "3000".parse().expect("a header"));
            let request = HttpRequest {
                method: Method::POST,
                path: "/q/00000000000000aa".to_owned(),
                query: String::new(),
                headers,
                body: Bytes::new(),
            };
            let response = api.clone().handle(request).await;
            assert_eq!(response.status, 503);
            times.extend(response.headers.iter().cloned());
        }
        times
    });
    let expected = ["1", "2"].map(|s| ("retry-after", s.to_owned()));
    assert_eq!(times, BTreeSet::from(expected));
}

/// Guards against a final refusal by an old configuration: a queue or a key that the entry does not know may
/// have been confirmed since. What it does know is served.
#[test]
fn an_old_configuration_refuses_nothing_for_good() {
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    let statuses = clock.block_on(async move {
        let config = r#"{"Version":1,"Routes":[{"Name":"queue","Host":"a","PathPrefix":"/queue/","Service":"s"}],
            "Tenants":[{"Name":"account","ApiKeys":["known"]}]}"#;
        let table = decode_config(config.as_bytes()).expect("a configuration");
        let store = FakeStore::new(Rc::default(), shared_clock.clone(), Duration::ZERO);
        let mut service = service(shared_clock.clone(), store);
        service.config = Rc::new(table.into());
        service.config.confirm_read(shared_clock.now());
        let api = Rc::new(CallerApi::new(Rc::new(service)));
        let mut statuses = Vec::new();
        for pause_ms in [0, 2400, 200, 60_000] {
            shared_clock.sleep(Duration::from_millis(pause_ms)).await;
            for (path, key) in [("/new/", "known"), ("/queue/", "new"), ("/queue/1", "known")] {
                let mut headers = HeaderMap::new();
                headers.insert("host", "a".parse().expect("a header"));
                headers.insert("credential", key.parse().expect("a header"));
                let req = HttpRequest {
                    method: Method::PUT,
                    path: path.to_owned(),
                    query: String::new(),
                    headers,
                    body: Bytes::new(),
                };
                let response = api.clone().handle(req).await;
                statuses.push((response.status, response.headers.len()));
            }
        }
        statuses
    });
    let current = [(404, 0), (401, 0), (404, 0)];
    let old = [(503, 1), (503, 1), (404, 0)];
    assert_eq!(statuses, [current, current, old, old].concat());
}

/// Guards against a call that counts as sent although no connection was established: the peer's host
/// drops the attempts to connect because the queue of its listener is full.
#[test]
fn a_call_without_a_connection_in_time_is_known_not_to_be_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let queued: Vec<TcpStream> = (0..10_000).map_while(connect).collect();
    let result = Runtime::new().expect("a runtime").block_on(async {
        let client = HttpClient::new(Rc::new(SystemClock::default()));
        let url = format!("http://{address}/log-append");
        client.get(&url, Duration::from_millis(300)).await
    });
    assert!(
        matches!(result, Err(HttpClientError::NotConnected(_))),
        "{} queued: {result:?}",
        queued.len()
    );
}
