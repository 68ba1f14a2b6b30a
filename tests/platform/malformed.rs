//! Malformed and extreme input from the platform, workers and callers.

use {
    super::fake_store::{FakeStore, SharedStore},
    compio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::{Runtime, spawn},
    },
    futures_util::{future::select, pin_mut},
    limpetquay::{
        connection::{
            GuardOrders, HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer, RunStart,
            StartRefusal, WorkerIncarnation, WorkerView, read_frame,
        },
        platform::{BootSettings, decode_config, decode_job, follow_config},
        prelude::*,
        process::{
            clock::{SystemClock, VirtualClock, with_timeout},
            config_view::ConfigView,
            ledger::{Condition, KeyedRecord, LedgerFold},
            relay::StoreCall,
            runs::{
                PollResponse, RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo, WorkerOrder,
            },
        },
        request::{Resources, RunRef, StepJobId, SubtaskId},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::cell::Cell,
};

/// The number of inputs for each decoder, unless `LIMPETQUAY_INPUTS` sets another number.
const INPUTS: u64 = 2000;

fn life(
    id: &str,
    started_at_ms: u64,
) -> WorkerIncarnation {
    WorkerIncarnation {
        id: id.into(),
        started_at_ms,
    }
}

fn heartbeat(
    life: WorkerIncarnation,
    sequence: u64,
) -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: WorkerAddress {
            address: "127.0.0.1:1".into(),
            life,
        },
        sequence,
        info: WorkerInfo {
            service: "service".into(),
            capacity: Resources::default(),
            labels: vec![],
            leaving_ms: None,
        },
    }
}

/// Guards against a run that is started although it was stopped: the stop and the start of one run
/// arrive in one message, and the scheduler does not order the stop again.
#[test]
fn a_run_that_is_started_and_stopped_in_one_message_does_not_start() {
    let mut tracker = RunTracker::default();
    let worker = life("w-1", 1);
    tracker.apply_heartbeat(heartbeat(worker.clone(), 1), Millis(0));
    assert!(tracker.open_session(1));
    let response = PollResponse {
        clock_ms: 0,
        born_ms: None,
        running: vec![],
        ended: vec![],
        is_complete: true,
    };
    tracker.apply_poll(1, Millis(0), Millis(10), response);
    let run = RunRef {
        subtask: SubtaskId {
            job: StepJobId::from_number(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    };
    let orders = GuardOrders {
        token: 1,
        number: 1,
        echoed_clock_ms: 10,
        guard_lease_ms: 2000,
        worker_lease_ms: 5000,
        worker: Some(worker),
        starts: vec![RunStart {
            run,
            payload: "".into(),
            checkpoint: None,
        }],
        stops: vec![run],
        acknowledged_end: 0,
    };
    let calls = tracker.apply_orders(&orders, Millis(20));
    let starts = calls.iter().filter(|c| matches!(c, WorkerOrder::Start(_)));
    assert_eq!(starts.count(), 0);
    let WorkerView::Known(report) = tracker.report(Millis(20)).worker else {
        panic!("the worker is known");
    };
    let refused: Vec<StartRefusal> = report.refused.iter().map(|r| r.reason).collect();
    assert_eq!((report.runs.len(), refused), (0, vec![StartRefusal::Old]));
}

/// Guards against a worker that is used again after it has left: a heartbeat that it sent before
/// arrives late.
#[test]
fn a_late_heartbeat_does_not_bring_back_a_worker_that_has_left() {
    let mut tracker = RunTracker::default();
    tracker.apply_heartbeat(heartbeat(life("w-1", 1), 5), Millis(0));
    tracker.apply_deregistration("w-1", None);
    let is_back = tracker.apply_heartbeat(heartbeat(life("w-1", 1), 4), Millis(100));
    let left = (
        is_back,
        tracker.worker.is_none(),
        tracker.has_worker_ended(),
    );
    let is_new = tracker.apply_heartbeat(heartbeat(life("w-1", 2), 1), Millis(200));
    assert_eq!((left, is_new), ((false, true, true), true));
}

/// Guards against a worker that is never used again because the time of day jumped back between its
/// two incarnations: once the new one has answered at its address, its heartbeats are believed.
#[test]
fn a_worker_that_was_born_earlier_by_the_clock_is_accepted_once_it_answers() {
    let mut tracker = RunTracker::default();
    tracker.apply_heartbeat(heartbeat(life("w-1", 5000), 5), Millis(0));
    let before = tracker.apply_heartbeat(heartbeat(life("w-1", 3000), 1), Millis(100));
    tracker.record_other_incarnation();
    let after = tracker.apply_heartbeat(heartbeat(life("w-1", 3000), 2), Millis(200));
    assert_eq!((before, after), (false, true));
}

fn config(version: u64) -> Bytes {
    format!(r#"{{"Version":{version},"Routes":[],"Tenants":[]}}"#).into()
}

/// Guards against valid configurations that are skipped because a malformed one follows them in the
/// same page.
#[test]
fn a_malformed_configuration_does_not_hide_the_ones_before_it() {
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    let version = clock.block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let put = |values: Vec<Bytes>| {
            let records = values.into_iter().map(|value| KeyedRecord {
                key: "config".into(),
                value: Some(value),
                offset: 0,
            });
            let records: Vec<KeyedRecord> = records.collect();
            let mut model = shared.model.borrow_mut();
            let appended = model.append("keyed.op", &records, Condition::Always);
            appended.expect("an append");
        };
        put(vec![config(1)]);
        let store = FakeStore::new(shared.clone(), shared_clock.clone(), Duration::ZERO);
        let view = Rc::<ConfigView>::default();
        let following = follow_config(store, shared_clock.clone(), view.clone(), Rc::default());
        let writing = async {
            shared_clock.sleep(Duration::from_millis(500)).await;
            put(vec![config(3), Bytes::from_static(b"{\"Version\":")]);
            shared_clock.sleep(Duration::from_millis(500)).await;
        };
        pin_mut!(following, writing);
        select(following, writing).await;
        view.table().map(|t| t.version)
    });
    assert_eq!(version, Some(3));
}

struct ShortTimeout(Cell<u32>);

impl HttpHandler for ShortTimeout {
    fn handle(
        self: Rc<Self>,
        _req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async { HttpResponse::text(200, "") })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        0
    }

    fn head_timeout(&self) -> Option<Duration> {
        Some(Duration::from_millis(200))
    }

    fn record_malformed_request(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Guards against the limit of the configuration on slow and idle connections, which was read and
/// not applied.
#[test]
fn a_connection_that_sends_no_complete_head_is_closed_in_time() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock = SystemClock::default();
        let any = "127.0.0.1:0".parse().expect("an address");
        let handler = Rc::new(ShortTimeout(Cell::new(0)));
        let server = HttpServer::bind(any, handler).await.expect("a server");
        let address = server.local_addr().expect("an address");
        spawn(server.run(std::future::pending())).detach();
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost:".to_vec()).await;
        sent.0.expect("the bytes are sent");
        let closing = stream.read_to_end(Vec::new());
        let closed = with_timeout(&clock, Duration::from_secs(5), closing).await;
        assert!(closed.is_some(), "the connection is still open");
    });
}

struct PanicsOnce(Cell<bool>);

impl HttpHandler for PanicsOnce {
    fn handle(
        self: Rc<Self>,
        _req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        assert!(
            self.0.replace(true),
            "the first request is answered by a panic"
        );
        Box::pin(async { HttpResponse::text(200, "") })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        0
    }
}

/// Guards against one unexpected error that ends a whole process: a panic while a request is
/// handled ends that connection only.
#[test]
fn a_panic_ends_only_its_connection() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let any = "127.0.0.1:0".parse().expect("an address");
        let handler = Rc::new(PanicsOnce(Cell::new(false)));
        let server = HttpServer::bind(any, handler).await.expect("a server");
        let url = format!("http://{}/", server.local_addr().expect("an address"));
        spawn(server.run(std::future::pending())).detach();
        let client = HttpClient::new(clock);
        let first = client.get(&url, Duration::from_secs(5)).await;
        let second = client.get(&url, Duration::from_secs(5)).await;
        assert_eq!(
            (first.is_err(), second.map(|r| r.status).ok()),
            (true, Some(200))
        );
    });
}

/// Changes a text at random: bytes are replaced, removed, repeated or cut off.
fn mutate(
    rng: &mut StdRng,
    text: &[u8],
) -> Vec<u8> {
    let mut bytes = text.to_vec();
    for _ in 0..rng.random_range(1..6) {
        if bytes.is_empty() {
            return bytes;
        }
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..5) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.remove(at)),
            2 => bytes.truncate(at),
            3 => {
                let end = (at + rng.random_range(1..40)).min(bytes.len());
                let part = bytes[at..end].to_vec();
                bytes.splice(at..at, part);
            }
            _ => {
                let digits = ["-1", "1e300", "99999999999999999999", "null", "\"\"", "[]"];
                let digits = digits[rng.random_range(0..digits.len())];
                bytes.splice(at..at, digits.bytes());
            }
        }
    }
    bytes
}

/// No input from outside ends a process: settings, configurations, jobs, frames and records of the
/// ledger are decoded from random and mutated bytes.
#[test]
fn no_input_panics() {
    const SETTINGS: &str = r#"{"NodeName":"edge-1","Ip":"10.1.0.19","ListenAddrs":{"Frontend":"10.1.0.19:8521",
        "Ready":"10.1.0.19:8523"},"InternalPortRange":[7000,7015],"HeartbeatMs":1500,"Limits":{"CpuShare":0.25},
        "Bounds":{"MaxHoldMs":6000,"RemoteFactor":3,"GracePeriodS":6,"status_s":120},"platform":{"Address":"10.2.1.7:1"}}"#;
    const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r","Host":"a","PathPrefix":"/a/","TargetLatencyMs":1200,
        "Priority":1,"Service":"s","Attempts":4,"Stretch":3.0}],"Limits":{"MaxBodyBytes":1000,"HeaderTimeoutMs":3000},
        "Tenants":[{"Name":"t","ApiKeys":["k1"],"Guaranteed":{"Gpu":16}}]}"#;
    const JOB: &str = r#"{"Spec":"x","RepeatCount":2,"FirstRunMs":1,"IntervalMs":5,"Steps":[{"Count":4,"Cpu":500,
        "MemMb":256,"EstRuntimeMs":900},{"Count":2,"Gpu":1,"DependsOn":[0],"GangScheduled":true}]}"#;
    let inputs = std::env::var("LIMPETQUAY_INPUTS");
    let inputs = inputs.ok().and_then(|v| v.parse().ok()).unwrap_or(INPUTS);
    let table = decode_config(CONFIG.as_bytes()).expect("a configuration");
    let queue = table.route("a", "/a/1").expect("a queue").clone();
    let mut rng = StdRng::seed_from_u64(11);
    let mut fold = LedgerFold::default();
    let mut accepted = [0_u32; 3];
    Runtime::new().expect("a runtime").block_on(async {
        for i in 0..inputs {
            let settings = mutate(&mut rng, SETTINGS.as_bytes());
            let settings = BootSettings::parse("boot.json", &String::from_utf8_lossy(&settings));
            accepted[0] += u32::from(settings.is_ok());
            let config = decode_config(&mutate(&mut rng, CONFIG.as_bytes()));
            accepted[1] += u32::from(config.is_ok());
            let body = mutate(&mut rng, JOB.as_bytes());
            let id = StepJobId::from_number(i);
            let job = decode_job(id, &body, &queue, AccountName::from("t"), Millis(i));
            if let Ok(job) = &job {
                accepted[2] += 1;
                let due = job
                    .occurrences()
                    .checked_sub(1)
                    .map(|last| job.window(last));
                assert!(due.is_none_or(|(from, to)| from <= to), "{job:?}");
            }
            let noise: Vec<u8> = (0..rng.random_range(0..60)).map(|_| rng.random()).collect();
            let _ = read_frame::<_, StoreCall>(&mut noise.as_slice()).await;
            let _ = read_frame::<_, GuardOrders>(&mut noise.as_slice()).await;
            let keys = ["job", "progress", "cancel"].map(|kind| format!("{kind}/{id}"));
            let others = ["job/1", "member/a", "lead", "x"].map(str::to_owned);
            for key in keys.iter().chain(&others) {
                let record = KeyedRecord {
                    key: key.as_str().into(),
                    value: Some(noise.clone().into()),
                    offset: i,
                };
                fold.apply(&record, Millis(i));
            }
        }
    });
    assert!(accepted.iter().all(|n| *n > 0), "{accepted:?}");
}
