//! Tests that a job's ID is kept byte for byte, over the whole range that callers may use.

use {
    super::one_guard::worker,
    compio::runtime::{Runtime, spawn},
    limpetquay::{
        connection::{HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer, RunStart},
        platform::HttpRunWorker,
        prelude::*,
        process::{
            clock::SystemClock,
            ledger::LedgerKey,
            runs::{PollRequest, RunWorker, WorkerAddress},
        },
        request::{RunRef, StepJobId, SubtaskId},
    },
    proptest::{
        prelude::*,
        strategy::ValueTree,
        test_runner::{Config, TestRunner},
    },
    serde_json::{Value, json},
};

/// The number of IDs that are sent to a worker.
const SENT_IDS: usize = 200;

/// Generates IDs over the whole permitted range: digits only, lowercase, uppercase, mixed case.
fn ids() -> impl Strategy<Value = String> {
    prop_oneof![
        "[0-9]{16}",
        "[0-9a-f]{16}",
        "[0-9A-F]{16}",
        "[0-9a-fA-F]{16}"
    ]
}

fn parse(text: &str) -> StepJobId {
    text.parse().expect("an ID")
}

proptest! {
    #![proptest_config(Config { failure_persistence: None, ..Config::default() })]

    /// Guards against records of one job that are stored under the key of another.
    #[test]
    fn keys_of_the_ledger_keep_an_id_byte_for_byte(id in ids()) {
        for kind in ["job", "progress", "cancel"] {
            let text = format!("{kind}/{id}");
            let key = LedgerKey::parse(&text).expect("a known key");
            prop_assert_eq!(key.to_string(), text);
        }
    }

    /// Guards against IDs that callers may not use and that are taken for others.
    #[test]
    fn an_id_has_16_hexadecimal_digits(text in prop_oneof![ids(), "[+-]?[0-9a-fA-F]{0,17}", ".{0,16}"]) {
        let is_id = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let parsed = text.parse::<StepJobId>().ok().map(|id| id.to_string());
        prop_assert_eq!(parsed, is_id.then_some(text));
    }

    /// Guards against ledgers and frames that this version and the one before read differently: an
    /// ID without uppercase letters is encoded as a `u64`. Every other one is decoded as it was
    /// encoded, and the version before, which reads a `u64`, takes it for no other job.
    #[test]
    fn encoded_ids_are_compatible_with_the_version_before(id in ids()) {
        let bytes = postcard::to_stdvec(&parse(&id)).expect("an encoded ID");
        prop_assert_eq!(postcard::from_bytes(&bytes), Ok(parse(&id)));
        let as_before = u64::from_str_radix(&id, 16).expect("a number");
        if id.bytes().any(|b| b.is_ascii_uppercase()) {
            prop_assert!(postcard::from_bytes::<u64>(&bytes).is_err());
        } else {
            prop_assert_eq!(&bytes, &postcard::to_stdvec(&as_before).expect("an encoded number"));
        }
    }

    /// Guards against two encodings of one ID, which would be two jobs with one key in the ledger.
    #[test]
    fn an_id_has_one_encoding(
        digits in prop_oneof!["[a-f]{16}", "[0-9a-f]{16}"],
        above in 0..0x2_0000_u128,
    ) {
        let number = u128::from_str_radix(&digits, 16).expect("a number");
        let value = above << 64 | number;
        if let Ok(id) = StepJobId::try_from(value) {
            prop_assert_eq!(id.to_string().parse(), Ok(id));
            prop_assert_eq!(u128::from(id), value);
        }
    }

    /// Guards against two jobs that are treated as one because their IDs differ only in case.
    #[test]
    fn ids_are_equal_only_if_their_bytes_are(id in ids(), position in 0..16_usize) {
        let mut other = id.clone().into_bytes();
        other[position] ^= if other[position].is_ascii_alphabetic() { 0x20 } else { 1 };
        let other = String::from_utf8(other).expect("ASCII digits");
        prop_assert_ne!(parse(&id), parse(&other));
        prop_assert_eq!(parse(&id), parse(&id));
    }
}

/// Records the names of the subtasks that it is told to start and to stop, and lists the last one
/// as running.
#[derive(Default)]
struct RecordingWorker {
    tasks: RefCell<Vec<String>>,
}

impl HttpHandler for RecordingWorker {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            let body: Value = serde_json::from_slice(&req.body).expect("a JSON body");
            if let Some(task) = body["Task"].as_str() {
                self.tasks.borrow_mut().push(task.to_owned());
            }
            let tasks = self.tasks.borrow();
            let running = tasks.last().map(|task| json!([task, 1, "", 0]));
            let running: Vec<Value> = running.into_iter().collect();
            HttpResponse::json(200, &json!({"ClockMs": 1, "Running": running, "Ended": []}))
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        10_000
    }
}

/// Guards against a worker that is told to start or stop a job that no caller has sent, and against
/// runs in its lists that are taken for those of another job.
#[test]
fn workers_receive_and_report_ids_byte_for_byte() {
    Runtime::new().expect("a runtime").block_on(async {
        let recorder = Rc::new(RecordingWorker::default());
        let any = "127.0.0.1:0".parse().expect("an address");
        let server = HttpServer::bind(any, recorder.clone())
            .await
            .expect("a server");
        let address = WorkerAddress {
            address: server
                .local_addr()
                .expect("an address")
                .to_string()
                .as_str()
                .into(),
            ..worker()
        };
        spawn(server.run(std::future::pending())).detach();
        let client = HttpRunWorker::new(HttpClient::new(Rc::new(SystemClock::default())));
        let mut runner = TestRunner::deterministic();
        for _ in 0..SENT_IDS {
            let id = ids().new_tree(&mut runner).expect("an ID").current();
            let subtask = SubtaskId {
                job: parse(&id),
                occurrence: 3,
                step: 1,
                index: 2,
            };
            let run = RunRef { subtask, run: 1 };
            let start = RunStart {
                run,
                payload: "".into(),
                checkpoint: None,
            };
            recorder.tasks.borrow_mut().clear();
            client
                .start(&address, 1, 1, &start)
                .await
                .expect("a started run");
            client.stop(&address, 1, run).await.expect("a stopped run");
            let call = PollRequest {
                token: 1,
                acknowledged_end: 0,
                deadline_ms: None,
                wait: Duration::ZERO,
            };
            let listed = client.poll(&address, call).await.expect("the lists");
            let listed: Vec<RunRef> = listed.running.iter().map(|s| s.run).collect();
            let task = format!("{id}.3.1.2");
            assert_eq!(*recorder.tasks.borrow(), [task.clone(), task]);
            assert_eq!(listed, [run]);
        }
    });
}
