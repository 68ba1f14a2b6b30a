//! A client of the administration interface.

use {
    crate::{
        connection::{HttpClient, HttpClientResponse},
        prelude::*,
        process::cli::CliError,
    },
    getopts::Matches,
    hyper::Method,
    serde_json::Value,
};

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The HTTP status of the answer to a document with faults.
const UNPROCESSABLE: u16 = 422;

/// A client of one entry's administration interface, authenticated by an operator's key.
pub struct AdminClient {
    client: HttpClient,
    entry: SocketAddr,
    bearer: String,
}

impl AdminClient {
    /// Creates a client of the entry at the address `entry`.
    pub fn new(
        clock: Rc<dyn Clock>,
        entry: SocketAddr,
        key: &str,
    ) -> Self {
        Self {
            client: HttpClient::new(clock),
            entry,
            bearer: format!("Bearer {key}"),
        }
    }

    /// Gets a path and returns the response body as text.
    pub(super) async fn get_text(
        &self,
        path: &str,
    ) -> Result<String, CliError> {
        let answer = self.call(Method::GET, path, &[], Bytes::new()).await?;
        Ok(String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Gets a path and returns the response body as JSON.
    pub(super) async fn get_json(
        &self,
        path: &str,
    ) -> Result<Value, CliError> {
        let answer = self.call(Method::GET, path, &[], Bytes::new()).await?;
        read_json(&answer)
    }

    /// Gets all pages of a list and returns their items.
    pub(super) async fn get_pages(
        &self,
        path: &str,
    ) -> Result<Vec<Value>, CliError> {
        let mut items = Vec::new();
        let mut cursor = String::new();
        loop {
            let joint = if path.contains('?') { '&' } else { '?' };
            let page = format!("{path}{joint}limit=1000&cursor={cursor}");
            let mut page = self.get_json(&page).await?;
            if let Value::Array(rows) = page["items"].take() {
                items.extend(rows);
            }
            match page["next"].as_str() {
                Some(next) => cursor = next.to_owned(),
                None => return Ok(items),
            }
        }
    }

    /// Posts JSON to a path and returns the response body as JSON.
    pub(super) async fn post(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<Value, CliError> {
        let body = body.to_string().into_bytes().into();
        let answer = self.call(Method::POST, path, &[], body).await?;
        read_json(&answer)
    }

    /// Submits a document as the successor of the version `follows`.
    pub(super) async fn put_document(
        &self,
        follows: &str,
        text: String,
    ) -> Result<Value, CliError> {
        let headers = [("if-match", follows)];
        let body = text.into_bytes().into();
        let answer = self.call(Method::PUT, "document", &headers, body).await?;
        read_json(&answer)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<HttpClientResponse, CliError> {
        let url = format!("http://{}/v1/admin/{path}", self.entry);
        let mut all_headers = vec![("authorization", self.bearer.as_str())];
        all_headers.extend_from_slice(headers);
        let answer = self
            .client
            .call(method, &url, &all_headers, body, CALL_TIMEOUT);
        let answer = answer.await.map_err(|e| {
            let message = format!("{}: {e}", self.entry);
            CliError::Failed(message)
        })?;
        if answer.status < 300 {
            return Ok(answer);
        }
        Err(problem_to_error(&answer))
    }
}

/// Returns a query string with those of the named options that are set.
pub(super) fn build_query(
    matches: &Matches,
    names: &[&str],
) -> String {
    let given = names.iter().filter_map(|name| {
        let value = matches.opt_str(name)?;
        Some(format!("{name}={value}"))
    });
    given.collect::<Vec<String>>().join("&")
}

fn read_json(answer: &HttpClientResponse) -> Result<Value, CliError> {
    let json = serde_json::from_slice(&answer.body);
    json.map_err(|e| CliError::Failed(format!("the response is not valid JSON: {e}")))
}

/// Converts problem details to a readable error: the cause, when to retry, the document's faults,
/// and the difference to the version in force.
fn problem_to_error(answer: &HttpClientResponse) -> CliError {
    let problem: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or("the entry refused");
    let mut message = format!("{detail} ({})", answer.status);
    if let Some(seconds) = problem["retry_after_s"].as_u64() {
        message += &format!("; try again in {seconds} s");
    }
    for fault in problem["faults"].as_array().into_iter().flatten() {
        message += &format!("\nline {}: {}", fault["line"], fault["message"]);
    }
    if let Some(diff) = problem["diff"].as_str() {
        message += &format!("\nwhat the document would change there:\n{diff}");
    }
    if answer.status == UNPROCESSABLE {
        CliError::Usage(message)
    } else {
        CliError::Failed(message)
    }
}
