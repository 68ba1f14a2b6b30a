//! An HTTP client of the worker on the guard's machine.

use {
    crate::{
        connection::{
            EndKind, HttpClient, HttpClientError, HttpClientResponse, RunEnd, RunPhase, RunStart,
            RunStatus, StartRefusal,
        },
        prelude::*,
        process::runs::{PollRequest, PollResponse, RunWorker, RunWorkerError, WorkerAddress},
        request::{RunRef, SubtaskId},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// The time limit of a call to the worker, beyond the wait that a poll requests. It is short
/// because the worker is on the same machine and answers within a few milliseconds, and every call
/// may be repeated.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum number of ends in one poll response. The worker lists the others once these are
/// acknowledged.
pub(super) const MAX_LISTED_ENDS: usize = 500;

/// A [`RunWorker`] that is called over HTTP.
pub struct HttpRunWorker {
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

/// A poll. `last_seen` is the number of the last acknowledged end.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct WirePoll {
    fencing_token: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    wait_ms: u64,
}

/// The response to a poll. A row of `running` holds subtask, run number, checkpoint, progress in
/// percent and, on some workers, a usage figure. A row of `ended` holds the end's number, subtask,
/// run number, kind of end and checkpoint.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePollResponse {
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

impl HttpRunWorker {
    /// Creates a client that calls workers through `client`.
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
            409 => Err(RunWorkerError::Refused(decode_refusal(&answer.body))),
            400 | 429 | 503 => Err(RunWorkerError::Refused(StartRefusal::Unhealthy)),
            status => Err(RunWorkerError::NoAnswer(format!("status {status}"))),
        }
    }
}

impl RunWorker for HttpRunWorker {
    fn poll<'a>(
        &'a self,
        worker: &'a WorkerAddress,
        call: PollRequest,
    ) -> LocalBoxFuture<'a, Result<PollResponse, RunWorkerError>> {
        Box::pin(async move {
            let body = WirePoll {
                fencing_token: call.token,
                last_seen: call.acknowledged_end,
                deadline_ms: call.deadline_ms,
                wait_ms: Millis::from(call.wait).0,
            };
            let answer = self.post(worker, "/hold", &body, call.wait).await?;
            let response: WirePollResponse = serde_json::from_slice(&answer.body)
                .map_err(|e| RunWorkerError::Malformed(e.to_string()))?;
            let running = decode_rows(&response.running, decode_running);
            let ended = decode_rows(&response.ended, decode_ended);
            let is_decoded =
                (running.len(), ended.len()) == (response.running.len(), response.ended.len());
            Ok(PollResponse {
                clock_ms: response.clock_ms,
                born_ms: response.born,
                running,
                ended,
                is_complete: is_decoded && response.ended.len() < MAX_LISTED_ENDS,
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
                task: encode_subtask(start.run),
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
                task: encode_subtask(run),
                run_id: run.run,
                fencing_token: token,
            };
            let result = self.post(worker, "/run-stop", &body, Duration::ZERO).await;
            result.map(drop)
        })
    }
}

fn decode_refusal(body: &[u8]) -> StartRefusal {
    let reason: WireReason = serde_json::from_slice(body).unwrap_or_else(|e| {
        tracing::warn!(error = %e, "cannot decode the reason of a refusal");
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

/// Decodes rows and skips malformed ones.
fn decode_rows<T>(
    rows: &[Vec<Value>],
    decode: fn(&[Value]) -> Option<T>,
) -> Vec<T> {
    let decoded = rows.iter().filter_map(|row| {
        let decoded = decode(row);
        if decoded.is_none() {
            tracing::warn!(?row, "skipped a malformed row of a poll response");
        }
        decoded
    });
    decoded.collect()
}

fn decode_running(row: &[Value]) -> Option<RunStatus> {
    let run = decode_run(row.first()?, row.get(1)?)?;
    Some(RunStatus {
        run,
        phase: RunPhase::Running,
        checkpoint: decode_checkpoint(row.get(2)?),
        progress_percent: row.get(3).and_then(Value::as_f64).map_or(0, |p| p as u64),
    })
}

fn decode_ended(row: &[Value]) -> Option<RunEnd> {
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
        run: decode_run(row.get(1)?, row.get(2)?)?,
        kind,
        checkpoint: row.get(4).and_then(decode_checkpoint),
    })
}

/// Returns the wire name of a run's subtask.
pub(super) fn encode_subtask(run: RunRef) -> String {
    run.subtask.to_string()
}

/// Decodes the wire name of a subtask and the number of its run.
pub(super) fn decode_run(
    subtask: &Value,
    run: &Value,
) -> Option<RunRef> {
    let mut parts = subtask.as_str()?.split('.');
    Some(RunRef {
        subtask: SubtaskId {
            job: parts.next()?.parse().ok()?,
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        },
        run: run.as_u64()?,
    })
}

/// Decodes a checkpoint. An empty text means that there is none.
fn decode_checkpoint(value: &Value) -> Option<Arc<str>> {
    let text = value.as_str()?;
    (!text.is_empty()).then(|| text.into())
}
