//! A stand-in for a worker, which runs subtasks on a guard's orders and sends heartbeats.

use super::{
    http::{Handler, Request, Response, Server, call, json_field, json_number},
    record::Record,
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The longest lease, in milliseconds.
pub const MAX_HOLD_MS: u64 = 6000;

/// How long a stop takes, in milliseconds; below `StopTimeoutMs`.
const STOP_MS: u64 = 100;

pub const HEARTBEAT: Duration = Duration::from_millis(1500);

/// What a worker offers, and how long its runs take.
#[derive(Clone)]
pub struct Kind {
    pub cpu_milli: u64,
    pub mem_mb: u64,
    pub gpus: u64,
    pub rack: &'static str,
}

struct Run {
    number: u64,
    ends_at_ms: u64,
    stops_at_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<String, Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    end_count: u64,
    highest_stopped: BTreeMap<String, u64>,
    fence: u64,
    deadline_ms: u64,
}

/// One life of a worker.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    born_ms: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    is_gone: AtomicBool,
    sequence: AtomicU64,
    /// When the last heartbeat was sent, by the worker's own clock in milliseconds.
    heartbeat_at_ms: AtomicU64,
    record: Arc<Record>,
    server: Mutex<Option<Server>>,
}

impl Worker {
    /// Starts a life of a worker at `address`. Its first heartbeat comes after `first_heartbeat`.
    pub fn start(
        id: &str,
        address: SocketAddr,
        guard: SocketAddr,
        kind: &Kind,
        first_heartbeat: Duration,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            born_ms: since_epoch.as_millis() as u64,
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            is_gone: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            heartbeat_at_ms: AtomicU64::new(0),
            record: record.clone(),
            server: Mutex::default(),
        });
        let own = worker.clone();
        let handler: Handler = Arc::new(move |req| own.answer(&req));
        *worker.server.lock().unwrap() = Some(Server::bind(address, handler)?);
        record.line(&format!(
            "worker {id} born {} up at {address}",
            worker.born_ms
        ));
        let own = worker.clone();
        thread::spawn(move || {
            while !own.is_gone.load(Ordering::SeqCst) {
                own.advance(&mut own.state.lock().unwrap());
                thread::sleep(Duration::from_millis(5));
            }
        });
        let (own, kind) = (worker.clone(), kind.clone());
        thread::spawn(move || {
            thread::sleep(first_heartbeat);
            while !own.is_gone.load(Ordering::SeqCst) {
                own.send_heartbeat(guard, &kind);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    /// Waits until the worker has sent its next heartbeat.
    pub fn wait_for_heartbeat(&self) {
        let first = self.heartbeat_at_ms.load(Ordering::SeqCst);
        while self.heartbeat_at_ms.load(Ordering::SeqCst) == first {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until some time after a heartbeat, and crashes the worker then.
    pub fn crash_after_heartbeat(
        &self,
        delay: Duration,
    ) {
        self.wait_for_heartbeat();
        thread::sleep(delay);
        self.crash();
    }

    /// Crashes the worker: everything that runs on it is gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        self.is_gone.store(true, Ordering::SeqCst);
        for (task, run) in std::mem::take(&mut state.runs) {
            self.record
                .end(&self.id, self.born_ms, &task, run.number, "gone");
        }
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.record.line(&format!(
            "worker {} born {} has crashed",
            self.id, self.born_ms
        ));
    }

    pub fn running(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }

    fn send_heartbeat(
        &self,
        guard: SocketAddr,
        kind: &Kind,
    ) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.heartbeat_at_ms
            .store(self.clock_ms(), Ordering::SeqCst);
        let body = format!(
            "{{\"Service\":\"triagehub\",\"Address\":\"{}\",\"Zone\":\"jozi-north\",\"Version\":\"v1\",\
             \"Slots\":8,\"State\":\"in_service\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\
             \"Capacity\":{{\"Cpu\":{},\"MemMb\":{},\"Gpu\":{}}},\"Labels\":[\"a\",\"{}\"],\
             \"ClockMs\":{},\"born\":{}}}",
            self.address,
            kind.cpu_milli,
            kind.mem_mb,
            kind.gpus,
            kind.rack,
            self.clock_ms(),
            self.born_ms,
        );
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let headers = [("content-type", "application/json")];
        let timeout = Duration::from_secs(1);
        let answer = call(guard, "POST", &path, &headers, body.as_bytes(), timeout);
        self.record.line(&format!(
            "worker {} heartbeat {sequence}: {:?}",
            self.id,
            answer.map(|(status, _)| status).map_err(|e| e.kind())
        ));
    }

    /// The worker's own clock, which starts with it.
    fn clock_ms(&self) -> u64 {
        1000 + self.started.elapsed().as_millis() as u64
    }

    fn advance(
        &self,
        state: &mut State,
    ) {
        if self.is_gone.load(Ordering::SeqCst) {
            return;
        }
        let now = self.clock_ms();
        let has_lapsed = state.deadline_ms <= now;
        let over = state.runs.iter().filter_map(|(task, run)| {
            let how = match run.stops_at_ms {
                Some(at) if at <= now => "stopped",
                _ if run.ends_at_ms <= now => "done",
                _ if has_lapsed => "lapsed",
                _ => return None,
            };
            Some((task.clone(), how))
        });
        let over: Vec<(String, &'static str)> = over.collect();
        for (task, how) in over {
            if let Some(run) = state.runs.remove(&task) {
                state.end_count += 1;
                let highest = state.highest_stopped.entry(task.clone()).or_default();
                *highest = (*highest).max(run.number);
                state
                    .ended
                    .push((state.end_count, task.clone(), run.number, how));
                self.record
                    .end(&self.id, self.born_ms, &task, run.number, how);
                self.changed.notify_all();
            }
        }
    }

    fn answer(
        &self,
        req: &Request,
    ) -> Option<Response> {
        if req
            .headers
            .get("target-instance")
            .is_some_and(|id| *id != self.id)
        {
            return Response::json(421, "{}".to_owned());
        }
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let token = json_number(&req.body, "FencingToken").unwrap_or(0);
        if token < state.fence {
            return self.refuse("fence");
        }
        state.fence = token;
        match req.path.as_str() {
            "/run-start" => self.start_run(&mut state, &req.body),
            "/run-stop" => self.stop_run(&mut state, &req.body),
            "/hold" => {
                let wait = json_number(&req.body, "WaitMs").unwrap_or(0).min(2000);
                let seen = json_number(&req.body, "LastSeen").unwrap_or(0);
                for (_, task, run, _) in state.ended.iter().filter(|(n, ..)| *n <= seen) {
                    self.record.note(&self.id, self.born_ms, task, *run);
                }
                state.ended.retain(|(number, ..)| *number > seen);
                self.extend_lease(&mut state, &req.body);
                let deadline = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() || self.is_gone.load(Ordering::SeqCst) {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                self.advance(&mut state);
                self.lists(&state)
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn refuse(
        &self,
        reason: &str,
    ) -> Option<Response> {
        let clock = self.clock_ms();
        Response::json(
            409,
            format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}"),
        )
    }

    fn extend_lease(
        &self,
        state: &mut State,
        body: &[u8],
    ) {
        if let Some(deadline) = json_number(body, "DeadlineMs") {
            let limit = self.clock_ms() + MAX_HOLD_MS;
            state.deadline_ms = state.deadline_ms.max(deadline.min(limit));
        }
    }

    fn start_run(
        &self,
        state: &mut State,
        body: &[u8],
    ) -> Option<Response> {
        let (task, number) = (json_field(body, "Task")?, json_number(body, "RunId")?);
        if json_number(body, "DeadlineMs").is_none_or(|d| d <= self.clock_ms()) {
            return self.refuse("late");
        }
        self.extend_lease(state, body);
        let ok = format!("{{\"ClockMs\":{}}}", self.clock_ms());
        if state.runs.get(&task).is_some_and(|r| r.number == number) {
            return Response::json(200, ok);
        }
        let is_old = state
            .highest_stopped
            .get(&task)
            .is_some_and(|h| number <= *h)
            || state.runs.get(&task).is_some_and(|r| number < r.number);
        if is_old {
            return self.refuse("old");
        }
        // The payload begins with the run time, as in "ms=2000".
        let spec = json_field(body, "Spec").unwrap_or_default();
        let digits = spec.trim_start_matches("ms=").split(' ').next();
        let run_ms = digits.and_then(|d| d.parse().ok()).unwrap_or(1000);
        let run = Run {
            number,
            ends_at_ms: self.clock_ms() + run_ms,
            stops_at_ms: None,
        };
        self.record.start(&self.id, self.born_ms, &task, number);
        state.runs.insert(task, run);
        Response::json(200, ok)
    }

    fn stop_run(
        &self,
        state: &mut State,
        body: &[u8],
    ) -> Option<Response> {
        let (task, number) = (json_field(body, "Task")?, json_number(body, "RunId")?);
        let stops_at_ms = self.clock_ms() + STOP_MS;
        match state.runs.get_mut(&task) {
            Some(run) if run.number <= number => {
                run.stops_at_ms.get_or_insert(stops_at_ms);
            }
            _ => {
                let highest = state.highest_stopped.entry(task).or_default();
                *highest = (*highest).max(number);
            }
        }
        Response::json(200, format!("{{\"ClockMs\":{}}}", self.clock_ms()))
    }

    fn lists(
        &self,
        state: &State,
    ) -> Option<Response> {
        let running = state.runs.iter();
        let running = running.map(|(task, run)| format!("[\"{task}\",{},\"\",1]", run.number));
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(500);
        let ended =
            ended.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
        let ended: Vec<String> = ended.collect();
        Response::json(
            200,
            format!(
                "{{\"ClockMs\":{},\"born\":{},\"Running\":[{}],\"Ended\":[{}]}}",
                self.clock_ms(),
                self.born_ms,
                running.join(","),
                ended.join(",")
            ),
        )
    }
}
