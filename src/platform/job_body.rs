//! Decoding of the jobs that callers submit.

use {
    crate::{
        prelude::*,
        request::{InvalidJob, MAX_STEPS, Recurrence, Resources, Step, StepJob, StepJobId},
        version::Queue,
    },
    derive_more::{Display, Error, From},
    serde::{
        Deserialize, Deserializer,
        de::{Error, SeqAccess, Visitor},
    },
    std::fmt,
};

/// The size limit of the payload that workers run, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4000;

/// Why a submitted job is rejected.
#[derive(Debug, Display, Error, From)]
pub enum JobBodyError {
    /// The body cannot be decoded.
    #[display("malformed job: {_0}")]
    Malformed(serde_json::Error),
    /// The job can never run.
    #[display("{_0}")]
    Invalid(InvalidJob),
    /// The payload is too long.
    #[display("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLong,
    /// The job or its queue uses a feature that is not supported.
    #[display("not served: {_0}")]
    #[from(skip)]
    Unsupported(#[error(not(source))] &'static str),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireJob {
    #[serde(default)]
    spec: Arc<str>,
    #[serde(deserialize_with = "decode_steps")]
    steps: Vec<WireStep>,
    #[serde(default)]
    repeat_count: u32,
    #[serde(default)]
    first_run_ms: u64,
    #[serde(default)]
    interval_ms: u64,
    #[serde(default)]
    long_running: bool,
}

#[derive(Deserialize)]
#[serde(default, rename_all = "PascalCase")]
#[derive(Default)]
struct WireStep {
    count: u32,
    cpu: u64,
    mem_mb: u64,
    gpu: u64,
    est_runtime_ms: u64,
    depends_on: Vec<u16>,
    checkpointing: bool,
    gang_scheduled: bool,
    rack_sensitive: bool,
    /// The label that the worker must have: a single one, although the wire name is a plural.
    constraints: Option<Arc<str>>,
    data_rack: Option<Arc<str>>,
    /// The maximum number of subtasks on one worker.
    anti_affinity: u32,
    /// Whether several copies of a subtask may run at the same time.
    speculative: bool,
    image: Option<Arc<str>>,
    long_running: bool,
    fills: bool,
    target_ms: f64,
    miss_allowed: u32,
}

/// Decodes a job that an account submits to a queue; `now` is the time of its acceptance.
///
/// # Errors
/// Returns a [`JobBodyError`] if the body is malformed, or the job is invalid or not supported.
pub fn decode_job(
    id: StepJobId,
    body: &[u8],
    queue: &Queue,
    account: AccountName,
    now: Millis,
) -> Result<StepJob, JobBodyError> {
    let wire: WireJob = serde_json::from_slice(body)?;
    if wire.spec.len() > MAX_PAYLOAD_BYTES {
        return Err(JobBodyError::PayloadTooLong);
    }
    if wire.long_running
        || wire
            .steps
            .iter()
            .any(|s| s.long_running || s.miss_allowed > 0)
    {
        return Err(JobBodyError::Unsupported(
            "work that runs until it is cancelled",
        ));
    }
    if wire.steps.iter().any(|s| s.fills || s.target_ms > 0.0) {
        return Err(JobBodyError::Unsupported(
            "work that fills and work with a latency target",
        ));
    }
    if let Some(feature) = queue.unsupported_feature {
        return Err(JobBodyError::Unsupported(feature));
    }
    let recurrence = (wire.repeat_count > 0).then_some(Recurrence {
        count: wire.repeat_count,
        first_ms: wire.first_run_ms,
        interval_ms: wire.interval_ms,
    });
    let job = StepJob {
        id,
        queue: queue.name.clone(),
        account,
        service: queue.service.clone(),
        priority: queue.priority,
        attempts: queue.max_attempts,
        stretch_percent: (queue.stretch_factor * 100.0) as u64,
        target_ms: queue.target_latency_ms,
        payload: wire.spec,
        steps: wire.steps.into_iter().map(decode_step).collect(),
        recurrence,
        accepted_ms: now.0,
    };
    job.check()?;
    Ok(job)
}

/// Decodes steps up to the most that a job has. A step takes many times more memory than its encoding, so
/// the others are not decoded before the job is rejected.
fn decode_steps<'de, D>(deserializer: D) -> Result<Vec<WireStep>, D::Error>
where
    D: Deserializer<'de>,
{
    struct Steps;

    impl<'de> Visitor<'de> for Steps {
        type Value = Vec<WireStep>;

        fn expecting(
            &self,
            f: &mut fmt::Formatter<'_>,
        ) -> fmt::Result {
            write!(f, "a list of at most {MAX_STEPS} steps")
        }

        fn visit_seq<A>(
            self,
            mut seq: A,
        ) -> Result<Self::Value, A::Error>
        where
            A: SeqAccess<'de>,
        {
            let mut steps = Vec::new();
            while let Some(step) = seq.next_element()? {
                if steps.len() == MAX_STEPS {
                    return Err(A::Error::invalid_length(steps.len() + 1, &self));
                }
                steps.push(step);
            }
            Ok(steps)
        }
    }

    deserializer.deserialize_seq(Steps)
}

fn decode_step(wire: WireStep) -> Step {
    Step {
        count: wire.count,
        demand: Resources {
            cpu_milli: wire.cpu,
            memory_mb: wire.mem_mb,
            accelerators: wire.gpu,
        },
        estimate_ms: wire.est_runtime_ms,
        after: wire.depends_on,
        checkpoints: wire.checkpointing,
        gang: wire.gang_scheduled,
        rack_bound: wire.rack_sensitive,
        label: wire.constraints.filter(|l| !l.is_empty()),
        data_rack: wire.data_rack.filter(|r| !r.is_empty()),
        max_per_upstream: wire.anti_affinity,
        copies: wire.speculative,
        image: wire.image.filter(|i| !i.is_empty()),
    }
}
