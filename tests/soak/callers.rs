//! Callers that submit jobs, query their states and cancel some, and the answers that they
//! received.

use {
    super::{fleet::Fleet, job_ids::JobIds, node::Role, scenario::Workload},
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

/// The deadline that a caller gives for an answer, in milliseconds.
const DEADLINE_MS: u64 = 3000;

/// The accepted delay of an answer beyond its deadline, for busy machines, in milliseconds.
const DEADLINE_TOLERANCE_MS: u64 = 700;

/// The accepted delay beside threads that use all processors, in milliseconds.
const BUSY_DEADLINE_TOLERANCE_MS: u64 = 3000;

/// The number of attempts to submit a job.
const MAX_SUBMIT_ATTEMPTS: u32 = 5;

/// The delay before a caller retries a submission or a cancellation.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Separates the generation of IDs from that of the faults and the work, which use the same seed.
const ID_STREAM: u64 = 0x1d_5eed;

/// Separates the draw of large jobs from that of all else, which use the same seed.
const LARGE_JOB_STREAM: u64 = 0x1a_59e5;

/// One in this number of turns of a caller begins with a large job.
const LARGE_JOB_ONE_IN: u32 = 20;

/// The most subtasks that a job may have.
const MOST_SUBTASKS: u32 = 20_000;

/// The number of jobs that are submitted at once in a burst.
const BURST_JOBS: usize = 30;

/// What the answers about a job say.
#[derive(Clone, Debug, Default)]
pub struct ReceivedAnswers {
    pub is_accepted: bool,
    /// When the job was accepted.
    pub accepted_at: Millis,
    /// Whether every submission failed in a way that guarantees that the job never runs.
    pub is_rejected: bool,
    pub is_cancelled: bool,
}

/// All callers of a scenario.
pub struct Callers {
    /// The answers by ID, as it was sent.
    pub received: RefCell<BTreeMap<Arc<str>, ReceivedAnswers>>,
    pub is_stopped: Cell<bool>,
    /// The key of the callers' account.
    key: &'static str,
    fleet: Rc<Fleet>,
    ids: RefCell<JobIds>,
    /// The large jobs that may have been accepted and whose cancellation was not confirmed.
    large_jobs: RefCell<Vec<Arc<str>>>,
}

impl Callers {
    pub fn new(fleet: Rc<Fleet>) -> Rc<Self> {
        Self::with_key(fleet, "key", ID_STREAM)
    }

    /// Creates the callers of another account, with a stream of IDs of their own.
    pub fn with_key(
        fleet: Rc<Fleet>,
        key: &'static str,
        id_stream: u64,
    ) -> Rc<Self> {
        Rc::new(Self {
            received: RefCell::default(),
            is_stopped: Cell::new(false),
            key,
            ids: RefCell::new(JobIds::new(fleet.scenario.seed ^ id_stream)),
            large_jobs: RefCell::default(),
            fleet,
        })
    }

    /// Submits jobs one after the other until the callers are stopped, and cancels some of them.
    pub async fn run(
        self: Rc<Self>,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut large_rng = StdRng::seed_from_u64(seed ^ LARGE_JOB_STREAM);
        while !self.is_stopped.get() {
            if large_rng.random_range(0..LARGE_JOB_ONE_IN) == 0 {
                self.submit_and_cancel_large_job(&mut large_rng).await;
            }
            let id = self.ids.borrow_mut().generate();
            let (job, body) = random_job(&mut rng, &id, self.fleet.scenario.workload);
            self.fleet.record_sent_job(&id, job);
            self.submit(&mut rng, &id, &body).await;
            let is_accepted = self.received.borrow()[&id].is_accepted;
            if is_accepted && rng.random_range(0..8) == 0 {
                let pause = rng.random_range(0..1500);
                compio::time::sleep(Duration::from_millis(pause)).await;
                self.cancel(&mut rng, &id).await;
            }
            let [shortest, longest] = self.fleet.scenario.workload.pause_ms;
            let pause = rng.random_range(shortest..longest);
            compio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Submits a job of up to the most subtasks, far more than the workers finish during a scenario, and
    /// cancels it unless it was rejected.
    async fn submit_and_cancel_large_job(
        &self,
        rng: &mut StdRng,
    ) {
        let count = MOST_SUBTASKS >> rng.random_range(0..8);
        let work_ms = rng.random_range(100..2500);
        let (id, body) = self.prepare_job(count, work_ms);
        self.submit(rng, &id, &body).await;
        if self.received.borrow()[&id].is_rejected {
            return;
        }
        self.large_jobs.borrow_mut().push(id.clone());
        let pause = rng.random_range(0..1500);
        compio::time::sleep(Duration::from_millis(pause)).await;
        if self.received.borrow()[&id].is_accepted {
            self.cancel(rng, &id).await;
        }
    }

    /// Cancels the large jobs whose cancellation was not confirmed before the callers were stopped, once no
    /// more faults come. One that is not known then was never stored.
    pub async fn cancel_large_jobs(&self) {
        let entry = self.fleet.nodes_of_role(Role::Entry)[0];
        for id in self.large_jobs.take() {
            if self.received.borrow()[&id].is_cancelled {
                continue;
            }
            self.expect_cancellation(&id);
            while !self.fleet.is_stalled() {
                let answer = self.call(entry, Method::DELETE, &id, "").await;
                if answer.is_ok_and(|a| matches!(a.status, 200 | 410)) {
                    break;
                }
                compio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Submits a job of one step with `count` subtasks of one accelerator and `work_ms` of work.
    pub async fn submit_one(
        &self,
        count: u32,
        work_ms: u64,
    ) -> Arc<str> {
        let (id, body) = self.prepare_job(count, work_ms);
        let mut rng = StdRng::seed_from_u64(work_ms);
        self.submit(&mut rng, &id, &body).await;
        id
    }

    /// Submits a job of one step to a random entry.
    pub async fn submit_step(
        &self,
        rng: &mut StdRng,
        step: Step,
        payload: &str,
    ) -> Arc<str> {
        let id = self.ids.borrow_mut().generate();
        let (job, body) = encode_job(&id, vec![step], payload);
        self.fleet.record_sent_job(&id, job);
        self.submit(rng, &id, &body).await;
        id
    }

    /// Submits jobs of one short subtask at once to one entry, and waits for the answers.
    pub async fn submit_burst(
        &self,
        rng: &mut StdRng,
        entry: usize,
    ) {
        let jobs = (0..BURST_JOBS).map(|_| self.prepare_job(1, rng.random_range(100..800)));
        let jobs: Vec<_> = jobs.collect();
        let submissions = jobs
            .iter()
            .map(|(id, body)| self.submit_to(id, body, || entry));
        futures_util::future::join_all(submissions).await;
    }

    /// Returns the ID of a job that is about to be sent, and the body that submits it.
    fn prepare_job(
        &self,
        count: u32,
        work_ms: u64,
    ) -> (Arc<str>, String) {
        let id = self.ids.borrow_mut().generate();
        let step = Step {
            count,
            demand: Resources {
                cpu_milli: 1000,
                memory_mb: 1000,
                accelerators: 1,
            },
            estimate_ms: work_ms,
            ..Step::default()
        };
        let (job, body) = encode_job(&id, vec![step], &format!("work_ms={work_ms}"));
        self.fleet.record_sent_job(&id, job);
        (id, body)
    }

    /// Returns the jobs that were accepted some time before `now` and that no caller has cancelled.
    pub fn accepted_for(
        &self,
        age: Duration,
        now: Millis,
    ) -> Vec<Arc<str>> {
        let received = self.received.borrow();
        let oracle = self.fleet.oracle.borrow();
        let accepted = received.iter().filter(|(id, answers)| {
            answers.is_accepted
                && now.since(answers.accepted_at) >= age
                && !oracle.cancelled.contains(&parse_id(id))
        });
        accepted.map(|(id, _)| id.clone()).collect()
    }

    /// Returns a job's state from the first entry that knows it, or `None` if none does.
    pub async fn state(
        &self,
        id: &str,
    ) -> Option<String> {
        for entry in self.fleet.nodes_of_role(Role::Entry) {
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
        id: &str,
        body: &str,
    ) {
        self.submit_to(id, body, || self.random_entry(rng)).await;
    }

    /// Submits a job until it is accepted, to the entry that `next_entry` returns for each attempt.
    async fn submit_to<F>(
        &self,
        id: &str,
        body: &str,
        mut next_entry: F,
    ) where
        F: FnMut() -> usize,
    {
        let mut answers = ReceivedAnswers {
            is_rejected: true,
            ..ReceivedAnswers::default()
        };
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let entry = next_entry();
            let answer = self.call(entry, Method::POST, id, body).await;
            match answer.as_ref().map(|a| a.status) {
                Ok(200) => {
                    answers.is_accepted = true;
                    answers.accepted_at = self.fleet.clock.now();
                    answers.is_rejected = false;
                    break;
                }
                Ok(429 | 503) | Err(HttpClientError::NotListening(_)) => {}
                Ok(504) | Err(_) => answers.is_rejected = false,
                Ok(status) => self.fleet.record_violation(format!(
                    "the submission of {id} was answered with status {status}"
                )),
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
        self.received.borrow_mut().insert(id.into(), answers);
    }

    async fn cancel(
        &self,
        rng: &mut StdRng,
        id: &str,
    ) {
        self.expect_cancellation(id);
        while !self.is_stopped.get() {
            let entry = self.random_entry(rng);
            let answer = self.call(entry, Method::DELETE, id, "").await;
            if answer.is_ok_and(|a| a.status == 200) {
                if let Some(answers) = self.received.borrow_mut().get_mut(id) {
                    answers.is_cancelled = true;
                }
                return;
            }
            compio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Notes that a job may be cancelled from now on.
    fn expect_cancellation(
        &self,
        id: &str,
    ) {
        let mut oracle = self.fleet.oracle.borrow_mut();
        oracle.cancelled.insert(parse_id(id));
    }

    fn random_entry(
        &self,
        rng: &mut StdRng,
    ) -> usize {
        let entries = self.fleet.nodes_of_role(Role::Entry);
        entries[rng.random_range(0..entries.len())]
    }

    /// Calls an entry, possibly over an existing connection, and checks that the answer arrives
    /// complete and in time.
    async fn call(
        &self,
        entry: usize,
        method: Method,
        id: &str,
        body: &str,
    ) -> Result<HttpClientResponse, HttpClientError> {
        let node = &self.fleet.nodes[entry];
        let url = format!("http://{}:8521/q/{id}", node.ip);
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("host", "a.example"),
            ("credential", self.key),
            ("deadline-ms", &*deadline),
        ];
        let body = Bytes::copy_from_slice(body.as_bytes());
        let start = self.fleet.clock.now();
        let tolerance_ms = match self.fleet.scenario.busy_threads {
            0 => DEADLINE_TOLERANCE_MS,
            _ => BUSY_DEADLINE_TOLERANCE_MS,
        };
        let limit = Duration::from_millis(DEADLINE_MS + tolerance_ms);
        let client = &self.fleet.client;
        let answered_before = node.answered_calls(id);
        let answer = client
            .call(method.clone(), &url, &headers, body, limit)
            .await;
        if node.is_stopping.get()
            && matches!(answer, Err(HttpClientError::AnswerLost(_)))
            && node.answered_calls(id) > answered_before
        {
            self.fleet.record_violation(format!(
                "{}: the answer to {method} {id} was cut off during its shutdown",
                node.name
            ));
        }
        let is_undisturbed = node.undisturbed_since.get() < start;
        if is_undisturbed && matches!(answer, Err(HttpClientError::TimedOut(_))) {
            self.fleet.record_violation(format!(
                "{}: {method} {id} sent at {start:?} got no answer in time",
                node.name
            ));
        }
        answer
    }
}

/// Returns the ID of a job as the oracle knows it.
pub fn parse_id(id: &str) -> StepJobId {
    id.parse().expect("callers send valid IDs")
}

/// Returns a random job for the oracle and the body that submits it.
fn random_job(
    rng: &mut StdRng,
    id: &str,
    workload: Workload,
) -> (StepJob, String) {
    let (work_ms, max_count, gangs_of_four) = match workload.is_site {
        true if rng.random_range(0..4) > 0 => (rng.random_range(1500..11_000), 9, 3),
        true => (rng.random_range(100..2500), 9, 3),
        false => (rng.random_range(100..2500), 4, 1),
    };
    let accelerators = if workload.is_site {
        [1, 1, 1, 1, 2]
    } else {
        [1, 1, 2, 4, 8]
    };
    let is_failing = rng.random_range(0..12) == 0;
    let mut steps = Vec::new();
    for index in 0..rng.random_range(1..3) {
        steps.push(Step {
            count: rng.random_range(1..max_count),
            demand: Resources {
                cpu_milli: 1000,
                memory_mb: 1000,
                accelerators: accelerators[rng.random_range(0..5)],
            },
            estimate_ms: work_ms,
            after: if index > 0 { vec![index - 1] } else { vec![] },
            gang: rng.random_range(0..4) < gangs_of_four,
            ..Step::default()
        });
    }
    let payload = format!("work_ms={work_ms}{}", if is_failing { " fail" } else { "" });
    encode_job(id, steps, &payload)
}

/// Returns a job of the given steps for the oracle and the body that submits it.
fn encode_job(
    id: &str,
    steps: Vec<Step>,
    payload: &str,
) -> (StepJob, String) {
    // The ID in the payload shows which of two jobs a worker was told to run.
    let payload = format!("{payload} id={id}");
    let encoded_steps = steps.iter().map(|s| {
        serde_json::json!({"Count": s.count, "Cpu": s.demand.cpu_milli, "MemMb": s.demand.memory_mb,
            "Gpu": s.demand.accelerators, "EstRuntimeMs": s.estimate_ms, "DependsOn": s.after,
            "GangScheduled": s.gang, "Checkpointing": s.checkpoints})
    });
    let encoded_steps: Vec<serde_json::Value> = encoded_steps.collect();
    let body = serde_json::json!({"Spec": payload, "Steps": encoded_steps}).to_string();
    let job = StepJob {
        id: parse_id(id),
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
