//! A demonstration that sends requests and jobs and prints a table of their outcomes.

use {
    super::{LocalError, LocalSystem, example_key, system_state::print_system_state},
    crate::process::output::print_text,
    crate::{
        connection::{HttpClient, HttpClientResponse},
        prelude::*,
        version::{JobKind, RequestKind},
    },
    hyper::Method,
    serde::Deserialize,
    std::io,
};

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between two checks of a job or of the free accelerators.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The number of requests sent of each kind.
const REQUESTS_PER_KIND: u32 = 20;

/// One row of the table: the outcomes of one request or job kind.
struct ResultRow {
    activity: String,
    answered: u32,
    refused: u32,
    max_latency: Duration,
}

/// The fields of a submission's answer that the demonstration uses.
#[derive(Deserialize)]
struct SubmittedJob {
    id: String,
}

/// The fields of a job's state that the demonstration uses.
#[derive(Deserialize)]
struct JobStatusBody {
    status: String,
}

/// Sends requests of each kind and one job of each kind, and prints the outcomes and the state of
/// the system.
///
/// # Errors
/// Returns [`LocalError`] if there is no entry, a call is not answered or a write fails.
pub async fn demonstrate(system: &LocalSystem) -> Result<(), LocalError> {
    let document = match system.entries().first() {
        Some(first) => first.entry().document(),
        None => return Err(LocalError::StepFailed("the system has no entry")),
    };
    let client = HttpClient::new(system.clock().clone());
    let mut rows = Vec::new();
    for kind in document.request_kinds.values() {
        rows.push(send_requests(system, &client, &document, kind).await?);
    }
    wait_for_accelerators(system).await;
    for kind in document.job_kinds.values() {
        rows.push(run_job(system, &client, &document, kind).await?);
    }
    print_table(&rows)?;
    print_system_state(system)?;
    Ok(())
}

/// Waits until every guard has free accelerators. A new guard offers none for some seconds, because
/// tasks that its predecessor started may still run.
async fn wait_for_accelerators(system: &LocalSystem) {
    let have_free = || {
        let guards = system.guards().iter();
        guards
            .map(|g| g.guard().gangs())
            .all(|g| !g.free_accelerators().is_empty())
    };
    while !have_free() {
        system.clock().sleep(JOB_POLL_INTERVAL).await;
    }
}

/// Sends requests of one kind, taking accounts and entries in round-robin order.
async fn send_requests(
    system: &LocalSystem,
    client: &HttpClient,
    document: &Document,
    kind: &RequestKind,
) -> Result<ResultRow, LocalError> {
    let mut row = ResultRow::new(format!("{} request {}", kind.class, kind.name));
    let accounts: Vec<&AccountName> = document.accounts.keys().collect();
    for i in 0..REQUESTS_PER_KIND as usize {
        let entry = system.entries()[i % system.entries().len()].http_address();
        let account = accounts[i % accounts.len()];
        let url = format!("http://{entry}/v1/requests/{}", kind.name);
        let body = format!("request={i}&run_ms=20");
        let start = system.clock().now();
        let answer = call_entry(client, account, Method::POST, &url, body).await?;
        row.record_answer(answer.status, system.clock().now().since(start));
    }
    Ok(row)
}

/// Runs one job of a kind for the first account whose accelerator quota covers the gang, and waits
/// for its end.
async fn run_job(
    system: &LocalSystem,
    client: &HttpClient,
    document: &Document,
    kind: &JobKind,
) -> Result<ResultRow, LocalError> {
    let mut row = ResultRow::new(format!("{} job {} ({})", kind.class, kind.name, kind.gang));
    let needed = kind.gang.total_accelerators();
    let account = document
        .accounts
        .values()
        .find(|a| a.quota_accelerators >= needed);
    let Some(account) = account else {
        return Ok(row);
    };
    let entry = system.entries()[0].http_address();
    let url = format!("http://{entry}/v1/jobs");
    let body = format!("{{\"kind\":\"{}\",\"payload\":\"run_ms=300\"}}", kind.name);
    let start = system.clock().now();
    let submitted = call_entry(client, &account.name, Method::POST, &url, body).await?;
    let Ok(job) = serde_json::from_slice::<SubmittedJob>(&submitted.body) else {
        row.record_answer(submitted.status, Duration::ZERO);
        return Ok(row);
    };
    let url = format!("{url}/{}", job.id);
    loop {
        let state = call_entry(client, &account.name, Method::GET, &url, String::new()).await?;
        let state = serde_json::from_slice::<JobStatusBody>(&state.body);
        if !state.is_ok_and(|s| s.status == "open") {
            break;
        }
        system.clock().sleep(JOB_POLL_INTERVAL).await;
    }
    let url = format!("{url}/result");
    let result = call_entry(client, &account.name, Method::GET, &url, String::new()).await?;
    row.record_answer(result.status, system.clock().now().since(start));
    Ok(row)
}

async fn call_entry(
    client: &HttpClient,
    account: &AccountName,
    method: Method,
    url: &str,
    body: String,
) -> Result<HttpClientResponse, LocalError> {
    let bearer = format!("Bearer {}", example_key(account.as_str()));
    let headers = [("authorization", bearer.as_str())];
    let answer = client
        .call(method, url, &headers, body.into(), CALL_TIMEOUT)
        .await;
    Ok(answer?)
}

impl ResultRow {
    fn new(activity: String) -> Self {
        Self {
            activity,
            answered: 0,
            refused: 0,
            max_latency: Duration::ZERO,
        }
    }

    fn record_answer(
        &mut self,
        status: u16,
        latency: Duration,
    ) {
        if status == 200 {
            self.answered += 1;
        } else {
            self.refused += 1;
        }
        self.max_latency = self.max_latency.max(latency);
    }
}

fn print_table(rows: &[ResultRow]) -> io::Result<()> {
    let mut text = format!(
        "{:<52} {:>8} {:>7} {:>9}\n",
        "what", "answered", "refused", "slowest"
    );
    for row in rows {
        text += &format!(
            "{:<52} {:>8} {:>7} {:>6} ms\n",
            row.activity,
            row.answered,
            row.refused,
            row.max_latency.as_millis(),
        );
    }
    print_text(&text)
}
