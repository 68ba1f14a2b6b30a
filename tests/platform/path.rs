//! End-to-end tests over loopback with stand-ins: callers, an entry, a guard, a worker and the
//! store.

use {
    compio::runtime::{JoinHandle, Runtime, spawn},
    hyper::Method,
    limpetquay::{
        connection::{HttpClient, HttpClientResponse, HttpServer},
        platform::{
            BootSettings, PlatformRole, run_role,
            stand_in::{StandInStore, StandInWorker, StoreFaults, WorkerModel},
        },
        prelude::*,
        process::clock::SystemClock,
    },
    std::{
        net::TcpListener,
        sync::atomic::{AtomicU8, Ordering},
    },
};

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/q/",
    "Priority":0,"Service":"s","Attempts":2,"Stretch":3.0}],"Tenants":[{"Name":"t","ApiKeys":["key"],"Guaranteed":{"Gpu":8}}]}"#;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns an unused address. Each one is on a loopback IP of its own, so that no connection of another
/// test takes its port before it is bound.
fn free_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let ip = [
        127,
        254,
        (std::process::id() % 256) as u8,
        COUNT.fetch_add(1, Ordering::Relaxed),
    ];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a free port");
    listener.local_addr().expect("an address")
}

struct Testbed {
    clock: Rc<dyn Clock>,
    client: HttpClient,
    store: Rc<StandInStore>,
    worker: Rc<StandInWorker>,
    entry: BootSettings,
    _guard: JoinHandle<()>,
}

impl Testbed {
    async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let store = Rc::new(StandInStore::new(clock.clone()));
        let store_address = serve(store.clone()).await;
        store
            .put("keyed.op", "config", CONFIG.as_bytes())
            .expect("the operator writes");
        let model = WorkerModel::new(6000, 100);
        let worker = Rc::new(StandInWorker::new(clock.clone(), "w-1", model));
        let worker_address = serve(worker.clone()).await;
        let client = HttpClient::new(clock.clone());
        let guard = settings("guard-1", store_address);
        let heartbeats = send_heartbeats(
            client.clone(),
            guard.discovery.expect("an address"),
            worker_address,
        );
        spawn(heartbeats).detach();
        let guard = run_role(
            PlatformRole::Guard,
            guard,
            clock.clone(),
            std::future::pending(),
        );
        Self {
            clock,
            client,
            store,
            worker,
            entry: settings("entry-1", store_address),
            _guard: spawn(async move { guard.await.expect("the guard starts") }),
        }
    }

    fn start_entry(&self) -> JoinHandle<()> {
        let entry = run_role(
            PlatformRole::Entry,
            self.entry.clone(),
            self.clock.clone(),
            std::future::pending(),
        );
        spawn(async move { entry.await.expect("the entry starts") })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        key: &str,
        body: &str,
    ) -> Option<HttpClientResponse> {
        self.call_within(method, path, key, body, "3000").await
    }

    async fn call_within(
        &self,
        method: Method,
        path: &str,
        key: &str,
        body: &str,
        deadline_ms: &str,
    ) -> Option<HttpClientResponse> {
        let url = format!("http://{}{path}", self.entry.callers.expect("an address"));
        let headers = [
            ("host", "a.example"),
            ("credential", key),
            ("deadline-ms", deadline_ms),
        ];
        let body = Bytes::copy_from_slice(body.as_bytes());
        self.client
            .call(method, &url, &headers, body, TIMEOUT)
            .await
            .ok()
    }

    /// Repeats a `GET` call until its response equals `expected` or the timeout expires, and
    /// returns the last response.
    async fn wait_for(
        &self,
        path: &str,
        expected: &str,
    ) -> String {
        let start = self.clock.now();
        loop {
            let answer = self.call(Method::GET, path, "key", "").await;
            let text = answer.map_or("no answer".to_owned(), |a| text(&a));
            if text == expected || self.clock.now().since(start) > TIMEOUT {
                return text;
            }
            self.clock.sleep(Duration::from_millis(50)).await;
        }
    }
}

fn text(answer: &HttpClientResponse) -> String {
    format!(
        "{} {}",
        answer.status,
        String::from_utf8_lossy(&answer.body)
    )
}

async fn serve(handler: Rc<dyn limpetquay::connection::HttpHandler>) -> SocketAddr {
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::bind(any, handler).await.expect("a server");
    let address = server.local_addr().expect("an address");
    spawn(server.run(std::future::pending())).detach();
    address
}

fn settings(
    name: &str,
    store: SocketAddr,
) -> BootSettings {
    let text = format!(
        r#"{{"NodeName":"{name}","Ip":"127.0.0.1","InternalPortRange":[1,2],"HeartbeatMs":200,
        "ListenAddrs":{{"ControlPlane":"127.0.0.1:3"}},
        "Bounds":{{"MaxHoldMs":6000,"RemoteFactor":3,"GracePeriodS":6,"status_s":120}},"platform":{{"Address":"{store}"}}}}"#
    );
    let settings = BootSettings::parse("boot.json", &text).expect("valid settings");
    BootSettings {
        callers: Some(free_address()),
        readiness: Some(free_address()),
        discovery: Some(free_address()),
        peers: free_address(),
        metrics: free_address(),
        ..settings
    }
}

async fn send_heartbeats(
    client: HttpClient,
    guard: SocketAddr,
    worker: SocketAddr,
) {
    for sequence in 1.. {
        let heartbeat = format!(
            r#"{{"Service":"s","Address":"{worker}","State":"in_service","Sequence":{sequence},
            "Capacity":{{"Cpu":16000,"MemMb":32768,"Gpu":8}},"Labels":["a","r1"],"born":1}}"#
        );
        let url = format!("http://{guard}/Instances.Heartbeat/w-1");
        // A guard that does not listen yet receives the next heartbeat.
        let _ = client
            .post(&url, &[], heartbeat.into(), HEARTBEAT_INTERVAL)
            .await;
        compio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

const COMPLETED: &str = r#"200 {"State":"completed"}"#;

#[test]
fn a_job_runs_once_and_outlives_its_entry() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        let job = r#"{"Spec":"work_ms=300","Steps":[{"Count":2,"Cpu":100,"Gpu":1,"EstRuntimeMs":300},
            {"Count":1,"Cpu":100,"DependsOn":[0]}]}"#;
        let path = "/q/00000000000000aa";
        let mut observed = Vec::new();
        for (method, path, key, body) in [
            (Method::POST, path, "key", job),
            (Method::POST, path, "key", job),
            (Method::POST, path, "another", job),
            (Method::POST, "/none/00000000000000ab", "key", job),
            (Method::POST, "/q/00000000000000ac", "key", "{"),
            (Method::GET, "/q/00000000000000ad", "key", ""),
            (Method::DELETE, "/q/00000000000000ad", "key", ""),
        ] {
            let answer = testbed.call(method.clone(), path, key, body).await;
            observed.push(format!("{method} {path}: {:?}", answer.map(|a| a.status)));
        }
        observed.push(testbed.wait_for(path, COMPLETED).await);
        drop(entry);
        let entry = testbed.start_entry();
        observed.push(testbed.wait_for(path, COMPLETED).await);
        drop(entry);
        observed.push(format!("{} starts", testbed.worker.model().borrow().starts.len()));
        insta::assert_debug_snapshot!(observed);
    });
}

/// Guards against a job that never runs and is shown as completed, because its ID differs from that
/// of another job only in case, and against starts under an ID that no caller has sent. Review case
/// 8.
#[test]
fn ids_that_differ_in_case_are_two_jobs() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let _entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        let ids = [
            "00000000000000ab",
            "00000000000000AB",
            "00000000000000aB",
            "FEDCBA9876543210",
        ];
        let mut expected = Vec::new();
        for (number, id) in ids.into_iter().enumerate() {
            let payload = format!("job-{number} work_ms=50");
            let job = format!(r#"{{"Spec":"{payload}","Steps":[{{"Count":1,"Cpu":100}}]}}"#);
            let answer = testbed
                .call(Method::POST, &format!("/q/{id}"), "key", &job)
                .await;
            assert_eq!(answer.map(|a| a.status), Some(200), "{id}");
            expected.push((format!("{id}.0.0.0"), payload));
        }
        for id in ids {
            let state = testbed.wait_for(&format!("/q/{id}"), COMPLETED).await;
            assert_eq!(state, COMPLETED, "{id}");
        }
        let model = testbed.worker.model().borrow();
        let starts = model.starts.iter();
        let starts = starts.map(|s| (s.run.subtask.to_string(), s.payload.to_string()));
        let mut starts: Vec<(String, String)> = starts.collect();
        starts.sort();
        expected.sort();
        assert_eq!(starts, expected);
    });
}

/// When the entry stops, the job continues under the next entry, and its run is not started again.
#[test]
fn a_running_job_is_taken_over() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        let job = r#"{"Spec":"work_ms=3000","Steps":[{"Count":1,"Cpu":100,"Gpu":8}]}"#;
        testbed
            .call(Method::POST, "/q/00000000000000aa", "key", job)
            .await;
        testbed
            .wait_for("/q/00000000000000aa", r#"200 {"State":"in_progress"}"#)
            .await;
        drop(entry);
        let _entry = testbed.start_entry();
        let state = testbed.wait_for("/q/00000000000000aa", COMPLETED).await;
        let starts = testbed.worker.model().borrow().starts.len();
        let calls = testbed.store.model().borrow().call_count;
        assert!(calls < 400, "{calls} calls to the store");
        assert_eq!((state.as_str(), starts), (COMPLETED, 1));
    });
}

/// A cancelled job ends, and its run on the worker is stopped.
#[test]
fn a_cancelled_job_stops() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let _entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        let job = r#"{"Spec":"work_ms=60000","Steps":[{"Count":1,"Cpu":100,"Gpu":8}]}"#;
        let path = "/q/00000000000000aa";
        testbed.call(Method::POST, path, "key", job).await;
        testbed
            .wait_for(path, r#"200 {"State":"in_progress"}"#)
            .await;
        let cancelled = testbed.call(Method::DELETE, path, "key", "").await;
        let state = testbed.wait_for(path, r#"200 {"State":"cancelled"}"#).await;
        let start = testbed.clock.now();
        while !testbed.worker.model().borrow().runs.is_empty()
            && testbed.clock.now().since(start) < TIMEOUT
        {
            testbed.clock.sleep(Duration::from_millis(50)).await;
        }
        let runs = testbed.worker.model().borrow().runs.len();
        assert_eq!(
            (cancelled.map(|a| a.status), state.as_str(), runs),
            (Some(200), r#"200 {"State":"cancelled"}"#, 0)
        );
    });
}

/// While the store does not answer, a caller gets a response within its deadline, and a later
/// caller is rejected at once.
#[test]
fn callers_are_answered_in_time_while_the_store_is_unresponsive() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let _entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        testbed.store.set_faults(StoreFaults {
            delay_ms: 60_000,
            ..StoreFaults::default()
        });
        let job = r#"{"Spec":"work_ms=10","Steps":[{"Count":1,"Cpu":100}]}"#;
        let mut observed = Vec::new();
        for (path, limit) in [
            ("/q/00000000000000aa", Duration::from_millis(3000)),
            ("/q/00000000000000ab", Duration::from_millis(500)),
        ] {
            let start = testbed.clock.now();
            let answer = testbed.call(Method::POST, path, "key", job).await;
            let elapsed = testbed.clock.now().since(start);
            observed.push((answer.map(|a| a.status), elapsed < limit));
            // After this pause the view of the ledger is too old for calls to the store.
            testbed.clock.sleep(Duration::from_millis(1500)).await;
        }
        insta::assert_debug_snapshot!(observed);
    });
}

/// A start whose response is lost is sent again, and the run that it started continues.
#[test]
fn a_start_without_an_answer_is_not_undone() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let _entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        testbed.worker.drop_answers("/run-start", 2);
        let job = r#"{"Spec":"work_ms=2000","Steps":[{"Count":1,"Cpu":100,"Gpu":8}]}"#;
        let path = "/q/00000000000000aa";
        testbed.call(Method::POST, path, "key", job).await;
        let state = testbed.wait_for(path, COMPLETED).await;
        let starts = testbed.worker.model().borrow().starts.len();
        assert_eq!((state.as_str(), starts), (COMPLETED, 1));
    });
}

/// A job of a caller with a short deadline is stored while the store works.
#[test]
fn a_caller_with_little_time_is_served() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let _entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        let job = r#"{"Spec":"work_ms=10","Steps":[{"Count":1,"Cpu":100}]}"#;
        let path = "/q/00000000000000aa";
        let answer = testbed
            .call_within(Method::POST, path, "key", job, "300")
            .await
            .map(|a| a.status);
        assert_eq!(answer, Some(200));
    });
}

/// A job whose append gets no response counts as accepted once its record is read back.
#[test]
fn a_record_that_is_read_back_is_stored() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let _entry = testbed.start_entry();
        testbed.wait_for("/q/", r#"200 {"Pending":0}"#).await;
        testbed.store.set_faults(StoreFaults {
            drops_answers: true,
            ..StoreFaults::default()
        });
        let job = r#"{"Spec":"work_ms=10","Steps":[{"Count":1,"Cpu":100}]}"#;
        let path = "/q/00000000000000aa";
        let start = testbed.clock.now();
        let answer = testbed.call(Method::POST, path, "key", job).await;
        let elapsed = testbed.clock.now().since(start);
        assert_eq!(answer.map(|a| a.status), Some(200));
        // The latency objective of urgent jobs on the users' deployments.
        assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
    });
}
