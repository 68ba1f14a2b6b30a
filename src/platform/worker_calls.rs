//! Calls to the worker on the guard's machine.

use {
    crate::{
        connection::{
            EndKind, HttpClient, HttpClientError, HttpClientResponse, RunEnd, RunPhase, RunStart,
            RunStatus, StartRefusal,
        },
        prelude::*,
        process::runs::{PollRequest, PollResponse, RunWorker, RunWorkerError, WorkerAddress},
        request::{RunRef, StepJobId, SubtaskId},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// The longest time that a worker may take to answer, besides the wait that a look asks for. It is on
/// the same machine and answers within some milliseconds, and every call may be sent again.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Calls a worker over HTTP.
pub struct WorkerCalls {
    client: HttpClient,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireStart<'a> {
    task: String,
    run_id: u64,
    spec: &'a str,
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireStop {
    task: String,
    run_id: u64,
    fencing_token: u64,
}

/// A look. `last_seen` is the number of the last end that is recorded.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WireLook {
    fencing_token: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    wait_ms: u64,
}

/// What runs and has ended. Each row of `running` is subtask, run, checkpoint, percent and, on some
/// workers, a figure for its use; each row of `ended` is number, subtask, run, how and checkpoint.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLooked {
    clock_ms: u64,
    #[serde(rename = "born")]
    born: Option<u64>,
    running: Vec<Vec<Value>>,
    ended: Vec<Vec<Value>>,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct WireReason {
    reason: String,
}

impl WorkerCalls {
    /// Creates the calling side.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    async fn post<T>(
        &self,
        worker: &WorkerAddress,
        path: &str,
        body: &T,
        wait: Duration,
    ) -> Result<HttpClientResponse, RunWorkerError>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|e| RunWorkerError::NotReached(e.to_string()))?;
        let url = format!("http://{}{path}", worker.address);
        let headers = [
            ("content-type", "application/json"),
            ("target-instance", &*worker.life.id),
        ];
        let result = self
            .client
            .post(&url, &headers, body.into(), CALL_TIMEOUT + wait)
            .await;
        let answer = result.map_err(|e| match e {
            HttpClientError::NotConnected(why) => RunWorkerError::NotReached(why),
            HttpClientError::NotListening(why) => RunWorkerError::NotListening(why),
            e => RunWorkerError::NoAnswer(e.to_string()),
        })?;
        match answer.status {
            200 => Ok(answer),
            421 => Err(RunWorkerError::OtherLife),
            409 => Err(RunWorkerError::Refused(refusal(&answer.body))),
            400 | 429 | 503 => Err(RunWorkerError::Refused(StartRefusal::Unhealthy)),
            status => Err(RunWorkerError::NoAnswer(format!("status {status}"))),
        }
    }
}

impl RunWorker for WorkerCalls {
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        call: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>> {
        Box::pin(async move {
            let body = WireLook {
                fencing_token: call.token,
                last_seen: call.acknowledged_end,
                deadline_ms: call.deadline_ms,
                wait_ms: Millis::from(call.wait).0,
            };
            let answer = self.post(worker, "/hold", &body, call.wait).await?;
            let looked: WireLooked = serde_json::from_slice(&answer.body)
                .map_err(|e| RunWorkerError::Malformed(e.to_string()))?;
            Ok(PollResponse {
                clock_ms: looked.clock_ms,
                born_ms: looked.born,
                running: rows(&looked.running, running_row),
                ended: rows(&looked.ended, ended_row),
            })
        })
    }

    fn start<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: u64,
        deadline_ms: u64,
        start: &'a RunStart,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async move {
            let body = WireStart {
                task: subtask_ref(start.run),
                run_id: start.run.run,
                spec: &start.payload,
                deadline_ms,
                fencing_token: token,
                checkpoint: start.checkpoint.as_deref(),
            };
            let result = self.post(worker, "/run-start", &body, Duration::ZERO).await;
            result.map(drop)
        })
    }

    fn stop<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        token: u64,
        run: RunRef,
    ) -> LocalBoxFuture<'a, Result<(), RunWorkerError>> {
        Box::pin(async move {
            let body = WireStop {
                task: subtask_ref(run),
                run_id: run.run,
                fencing_token: token,
            };
            let result = self.post(worker, "/run-stop", &body, Duration::ZERO).await;
            result.map(drop)
        })
    }
}

fn refusal(body: &[u8]) -> StartRefusal {
    let reason: WireReason = serde_json::from_slice(body).unwrap_or_else(|e| {
        tracing::warn!(error = %e, "a refusal without a readable reason");
        WireReason::default()
    });
    match reason.reason.as_str() {
        "fence" => StartRefusal::Fenced,
        "old" => StartRefusal::Old,
        "late" => StartRefusal::Late,
        "room" => StartRefusal::NoRoom,
        _ => StartRefusal::Unhealthy,
    }
}

/// Decodes rows; one that cannot be read is passed over.
fn rows<T>(
    rows: &[Vec<Value>],
    decode: fn(&[Value]) -> Option<T>,
) -> Vec<T> {
    let decoded = rows.iter().filter_map(|row| {
        let decoded = decode(row);
        if decoded.is_none() {
            tracing::warn!(?row, "row of a worker's list passed over");
        }
        decoded
    });
    decoded.collect()
}

fn running_row(row: &[Value]) -> Option<RunStatus> {
    let run = run_ref(row.first()?, row.get(1)?)?;
    Some(RunStatus {
        run,
        phase: RunPhase::Running,
        checkpoint: checkpoint(row.get(2)?),
        progress_percent: row.get(3).and_then(Value::as_f64).map_or(0, |p| p as u64),
    })
}

fn ended_row(row: &[Value]) -> Option<RunEnd> {
    let kind = match row.get(3)?.as_str()? {
        "done" => EndKind::Done,
        "failed" => EndKind::Failed,
        "stopped" => EndKind::Stopped,
        "lapsed" => EndKind::Lapsed,
        "broken" => EndKind::Broken,
        "alone" => EndKind::Alone,
        _ => return None,
    };
    Some(RunEnd {
        number: row.first()?.as_u64()?,
        run: run_ref(row.get(1)?, row.get(2)?)?,
        kind,
        checkpoint: row.get(4).and_then(checkpoint),
    })
}

/// Encodes the name of a run's subtask.
pub(super) fn subtask_ref(run: RunRef) -> String {
    run.subtask.to_string()
}

/// Decodes the name of a subtask and the number of its run.
pub(super) fn run_ref(
    subtask: &Value,
    run: &Value,
) -> Option<RunRef> {
    let mut parts = subtask.as_str()?.split('.');
    let job = StepJobId(u64::from_str_radix(parts.next()?, 16).ok()?);
    Some(RunRef {
        subtask: SubtaskId {
            job,
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        },
        run: run.as_u64()?,
    })
}

/// Decodes a checkpoint; an empty one is none.
fn checkpoint(value: &Value) -> Option<Arc<str>> {
    let text = value.as_str()?;
    (!text.is_empty()).then(|| text.into())
}
