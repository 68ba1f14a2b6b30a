//! An HTTP client of a guard's worker.

use {
    super::{RunAnswer, RunCall, TaskId, TaskStart, TaskState, Worker, WorkerError},
    crate::{
        connection::{HttpClient, HttpClientResponse},
        prelude::*,
    },
    serde::de::DeserializeOwned,
};

/// The header that carries the request ID to the upstream and back.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// The time limit of a call about a task, beyond the wait that it requests.
const TASK_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A [`Worker`] that is called over HTTP.
pub struct HttpWorker {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpWorker {
    /// Creates a client of the worker at `address`.
    pub fn new(
        client: HttpClient,
        address: SocketAddr,
    ) -> Self {
        Self { client, address }
    }

    async fn post_run(
        &self,
        call: RunCall,
    ) -> Result<RunAnswer, WorkerError> {
        let url = format!("http://{}/run/{}", self.address, call.kind);
        let id = call.id.to_string();
        let timeout = Duration::from_millis(call.timeout_ms);
        let headers = [(REQUEST_ID_HEADER, id.as_str())];
        let client = self.client.with_max_answer(call.max_answer);
        let answer = client.post(&url, &headers, call.body, timeout).await;
        let answer = answer.map_err(|e| e.to_worker_error())?;
        if answer.status == 503 {
            return Err(WorkerError::Refused(
                "the upstream takes no requests".into(),
            ));
        }
        if answer.request_id.as_deref() != Some(id.as_str()) {
            return Err(WorkerError::AnswerLost(
                "the answer names another request".into(),
            ));
        }
        Ok(RunAnswer {
            id: call.id,
            status: answer.status,
            body: answer.body,
        })
    }

    /// Posts a call about a task and decodes its answer.
    async fn post_task<T>(
        &self,
        path: String,
        body: Bytes,
        wait: Duration,
    ) -> Result<T, WorkerError>
    where
        T: DeserializeOwned,
    {
        let url = format!("http://{}/tasks/{path}", self.address);
        let timeout = wait + TASK_CALL_TIMEOUT;
        let answer = self.client.post(&url, &[], body, timeout).await;
        let answer = answer.map_err(|e| e.to_worker_error())?;
        decode_answer(&answer)
    }
}

/// Decodes an answer about a task.
fn decode_answer<T>(answer: &HttpClientResponse) -> Result<T, WorkerError>
where
    T: DeserializeOwned,
{
    if answer.status != 200 {
        let reason = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(WorkerError::Refused(reason));
    }
    postcard::from_bytes(&answer.body).map_err(|e| WorkerError::AnswerLost(e.to_string()))
}

impl Worker for HttpWorker {
    fn run(
        &self,
        call: RunCall,
    ) -> LocalBoxFuture<'_, Result<RunAnswer, WorkerError>> {
        Box::pin(self.post_run(call))
    }

    fn start(
        &self,
        task: TaskStart,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        Box::pin(async move {
            let body = postcard::to_stdvec(&task);
            let body = body.map_err(|e| WorkerError::Refused(e.to_string()))?;
            self.post_task("start".into(), body.into(), Duration::ZERO)
                .await
        })
    }

    fn renew(
        &self,
        id: TaskId,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TaskState, WorkerError>> {
        let path = format!("{id}/renew?wait_ms={}", wait.as_millis());
        Box::pin(self.post_task(path, Bytes::new(), wait))
    }

    fn checkpoint(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<u64, WorkerError>> {
        let path = format!("{id}/checkpoint");
        Box::pin(self.post_task(path, Bytes::new(), Duration::ZERO))
    }

    fn throttle(
        &self,
        id: TaskId,
        percent: u32,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        let path = format!("{id}/throttle?percent={percent}");
        Box::pin(self.post_task(path, Bytes::new(), Duration::ZERO))
    }

    fn stop(
        &self,
        id: TaskId,
    ) -> LocalBoxFuture<'_, Result<(), WorkerError>> {
        let path = format!("{id}/stop");
        Box::pin(self.post_task(path, Bytes::new(), Duration::ZERO))
    }
}
