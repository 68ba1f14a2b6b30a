//! Callers that submit jobs, ask for them and cancel some, and what they were told.

use {
    super::{fleet::Fleet, node::Role},
    hyper::Method,
    limpetquay::{
        connection::{HttpClientError, HttpClientResponse},
        prelude::*,
        request::{Resources, Step, StepJob, StepJobId},
        version::QueueName,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
    },
};

/// How long a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 3000;

/// By how much an answer may be late on a busy machine, in milliseconds.
const LATE_SLACK_MS: u64 = 700;

/// How often a caller tries to hand a job in.
const MAX_TRIES: u32 = 5;

/// How often a caller asks for a state or a cancel.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// What a caller knows of its job.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub accepted: bool,
    /// Whether every try was rejected with the word that the job never runs.
    pub rejected: bool,
    pub cancelled: bool,
}

/// All callers of a course.
pub struct Callers {
    pub told: RefCell<BTreeMap<StepJobId, Told>>,
    pub stopped: Cell<bool>,
    fleet: Rc<Fleet>,
    next: Cell<u64>,
}

impl Callers {
    pub fn new(fleet: Rc<Fleet>) -> Rc<Self> {
        Rc::new(Self {
            told: RefCell::default(),
            stopped: Cell::new(false),
            fleet,
            next: Cell::new(1),
        })
    }

    /// Submits jobs, one after the other, until the callers are stopped.
    pub async fn run(
        self: Rc<Self>,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        while !self.stopped.get() {
            let id = StepJobId(self.next.replace(self.next.get() + 1));
            let (job, body) = random_job(&mut rng, id);
            self.fleet.oracle.borrow_mut().jobs.insert(id, job);
            self.submit(&mut rng, id, &body).await;
            let is_accepted = self.told.borrow()[&id].accepted;
            if is_accepted && rng.random_range(0..8) == 0 {
                let pause = rng.random_range(0..1500);
                compio::time::sleep(Duration::from_millis(pause)).await;
                self.cancel(&mut rng, id).await;
            }
            let pause = rng.random_range(50..900);
            compio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Asks for a job's state at any entry; `None` when none tells.
    pub async fn state(
        &self,
        id: StepJobId,
    ) -> Option<String> {
        for entry in self.fleet.of_role(Role::Entry) {
            if let Ok(answer) = self.call(entry, Method::GET, id, "").await
                && matches!(answer.status, 200 | 410)
            {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                return Some(format!("{} {body}", answer.status));
            }
        }
        None
    }

    async fn submit(
        &self,
        rng: &mut StdRng,
        id: StepJobId,
        body: &str,
    ) {
        let mut told = Told {
            rejected: true,
            ..Told::default()
        };
        for _ in 0..MAX_TRIES {
            let entry = self.pick(rng);
            let answer = self.call(entry, Method::POST, id, body).await;
            match answer.as_ref().map(|a| a.status) {
                Ok(200) => {
                    told.accepted = true;
                    told.rejected = false;
                    break;
                }
                Ok(429 | 503) | Err(HttpClientError::NotListening(_)) => {}
                Ok(504) | Err(_) => told.rejected = false,
                Ok(status) => self.fleet.violate(format!("{id} was answered {status}")),
            }
            compio::time::sleep(ASK_INTERVAL).await;
        }
        self.told.borrow_mut().insert(id, told);
    }

    async fn cancel(
        &self,
        rng: &mut StdRng,
        id: StepJobId,
    ) {
        self.fleet.oracle.borrow_mut().cancelled.insert(id);
        while !self.stopped.get() {
            let entry = self.pick(rng);
            let answer = self.call(entry, Method::DELETE, id, "").await;
            if answer.is_ok_and(|a| a.status == 200) {
                if let Some(told) = self.told.borrow_mut().get_mut(&id) {
                    told.cancelled = true;
                }
                return;
            }
            compio::time::sleep(ASK_INTERVAL).await;
        }
    }

    fn pick(
        &self,
        rng: &mut StdRng,
    ) -> usize {
        let entries = self.fleet.of_role(Role::Entry);
        entries[rng.random_range(0..entries.len())]
    }

    /// Calls an entry over a connection that may be older, and checks that the answer comes in time
    /// and whole.
    async fn call(
        &self,
        entry: usize,
        method: Method,
        id: StepJobId,
        body: &str,
    ) -> Result<HttpClientResponse, HttpClientError> {
        let node = &self.fleet.nodes[entry];
        let url = format!("http://{}:8521/q/{id}", node.ip);
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("host", "a.example"),
            ("credential", "key"),
            ("deadline-ms", &*deadline),
        ];
        let body = Bytes::copy_from_slice(body.as_bytes());
        let start = self.fleet.clock.now();
        let limit = Duration::from_millis(DEADLINE_MS + LATE_SLACK_MS);
        let client = &self.fleet.client;
        let answered = node.answered(&id.to_string());
        let answer = client
            .call(method.clone(), &url, &headers, body, limit)
            .await;
        if node.stopping.get()
            && matches!(answer, Err(HttpClientError::AnswerLost(_)))
            && node.answered(&id.to_string()) > answered
        {
            self.fleet.violate(format!(
                "{}: the answer to {method} {id} was cut while it stopped",
                node.name
            ));
        }
        let is_calm = node.calm_since.get() < start;
        if is_calm && matches!(answer, Err(HttpClientError::TimedOut)) {
            self.fleet.violate(format!(
                "{}: {method} {id} of {start:?} got no answer in time",
                node.name
            ));
        }
        answer
    }
}

/// Draws a job, as the oracle knows it and as it is sent.
fn random_job(
    rng: &mut StdRng,
    id: StepJobId,
) -> (StepJob, String) {
    let work_ms = rng.random_range(100..2500);
    let fails = rng.random_range(0..12) == 0;
    let mut steps = Vec::new();
    for index in 0..rng.random_range(1..3) {
        steps.push(Step {
            count: rng.random_range(1..4),
            demand: Resources {
                cpu_milli: 1000,
                memory_mb: 1000,
                accelerators: [1, 1, 2, 4, 8][rng.random_range(0..5)],
            },
            estimate_ms: work_ms,
            after: if index > 0 { vec![index - 1] } else { vec![] },
            gang: rng.random_range(0..4) == 0,
            ..Step::default()
        });
    }
    let payload = format!("work_ms={work_ms}{}", if fails { " fail" } else { "" });
    let wire = steps.iter().map(|s| {
        serde_json::json!({"Count": s.count, "Cpu": s.demand.cpu_milli, "MemMb": s.demand.memory_mb,
            "Gpu": s.demand.accelerators, "EstRuntimeMs": s.estimate_ms, "DependsOn": s.after,
            "GangScheduled": s.gang})
    });
    let wire: Vec<serde_json::Value> = wire.collect();
    let body = serde_json::json!({"Spec": payload, "Steps": wire}).to_string();
    let job = StepJob {
        id,
        queue: QueueName::from("r"),
        account: AccountName::from("t"),
        service: "s".into(),
        priority: 0,
        attempts: 2,
        stretch_percent: 300,
        target_ms: 0,
        payload: payload.into(),
        steps,
        recurrence: None,
        accepted_ms: 0,
    };
    (job, body)
}
