//! An HTTP client of the platform's log.

use {
    super::{Batch, LogError, Offset, PlatformLog},
    crate::{connection::HttpClient, prelude::*},
};

/// The time limit of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);

/// The time limit of a read, beyond the time that the log waits for a record.
const READ_MARGIN: Duration = Duration::from_secs(3);

/// A [`PlatformLog`] that is called over HTTP.
pub struct HttpLog {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpLog {
    /// Creates a client of the log at `address`.
    pub fn new(
        client: HttpClient,
        address: SocketAddr,
    ) -> Self {
        Self { client, address }
    }

    async fn post_records(
        &self,
        records: Vec<Bytes>,
    ) -> Result<Offset, LogError> {
        let url = format!("http://{}/append", self.address);
        let body = postcard::to_stdvec(&records).map_err(|_| LogError::Unavailable)?;
        let answer = self
            .client
            .post(&url, &[], body.into(), APPEND_TIMEOUT)
            .await;
        let answer = answer.map_err(|e| e.to_log_error())?;
        match answer.status {
            200 => postcard::from_bytes(&answer.body).map_err(|_| LogError::AnswerLost),
            429 => Err(LogError::RateLimited),
            _ => Err(LogError::Unavailable),
        }
    }

    async fn get_records(
        &self,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, LogError> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "http://{}/records?from={from}&wait_ms={wait_ms}",
            self.address
        );
        let answer = self.client.get(&url, wait + READ_MARGIN).await;
        let answer = answer.map_err(|_| LogError::Unavailable)?;
        if answer.status != 200 {
            return Err(LogError::Unavailable);
        }
        postcard::from_bytes(&answer.body).map_err(|_| LogError::Unavailable)
    }
}

impl PlatformLog for HttpLog {
    fn append(
        &self,
        records: Vec<Bytes>,
    ) -> LocalBoxFuture<'_, Result<Offset, LogError>> {
        Box::pin(self.post_records(records))
    }

    fn read(
        &self,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Batch, LogError>> {
        Box::pin(self.get_records(from, wait))
    }
}
