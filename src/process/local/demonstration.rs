//! A short run of requests and jobs, with a table of what happened.

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

/// The longest time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// How often a job is looked at.
const JOB_POLL: Duration = Duration::from_millis(50);

/// The requests of each kind.
const REQUESTS_PER_KIND: u32 = 20;

/// One row of the table.
struct Row {
    what: String,
    answered: u32,
    refused: u32,
    slowest: Duration,
}

/// The answer to a submitted job.
#[derive(Deserialize)]
struct Submitted {
    id: String,
}

/// The part of a job's state that the demonstration looks at.
#[derive(Deserialize)]
struct JobState {
    status: String,
}

/// Sends requests of each kind and a job of each kind, and prints what happened.
///
/// # Errors
/// [`LocalError`] when a call brings no answer.
pub async fn demonstrate(system: &LocalSystem) -> Result<(), LocalError> {
    let document = match system.entries().first() {
        Some(first) => first.entry().document(),
        None => return Err(LocalError::NotReached("there is no entry")),
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

/// Waits until every worker gives out accelerators; new guards do not for some seconds, because
/// tasks of a guard before them might still run.
async fn wait_for_accelerators(system: &LocalSystem) {
    let all_free = || {
        let guards = system.guards().iter();
        guards
            .map(|g| g.guard().gangs())
            .all(|g| !g.free_accelerators().is_empty())
    };
    while !all_free() {
        system.clock().sleep(JOB_POLL).await;
    }
}

/// Sends requests of one kind, by all accounts in turn, through all entries in turn.
async fn send_requests(
    system: &LocalSystem,
    client: &HttpClient,
    document: &Document,
    kind: &RequestKind,
) -> Result<Row, LocalError> {
    let mut row = Row::new(format!("{} request {}", kind.class, kind.name));
    let accounts: Vec<&AccountName> = document.accounts.keys().collect();
    for i in 0..REQUESTS_PER_KIND as usize {
        let entry = system.entries()[i % system.entries().len()].http_address();
        let account = accounts[i % accounts.len()];
        let url = format!("http://{entry}/v1/requests/{}", kind.name);
        let body = format!("request={i}&run_ms=20");
        let start = system.clock().now();
        let answer = call(client, account, Method::POST, &url, body).await?;
        row.count(answer.status, system.clock().now().since(start));
    }
    Ok(row)
}

/// Runs one job of a kind, for the first account that may have its gang.
async fn run_job(
    system: &LocalSystem,
    client: &HttpClient,
    document: &Document,
    kind: &JobKind,
) -> Result<Row, LocalError> {
    let mut row = Row::new(format!("{} job {} ({})", kind.class, kind.name, kind.gang));
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
    let submitted = call(client, &account.name, Method::POST, &url, body).await?;
    let Ok(job) = serde_json::from_slice::<Submitted>(&submitted.body) else {
        row.count(submitted.status, Duration::ZERO);
        return Ok(row);
    };
    let url = format!("{url}/{}", job.id);
    loop {
        let state = call(client, &account.name, Method::GET, &url, String::new()).await?;
        let state = serde_json::from_slice::<JobState>(&state.body);
        if !state.is_ok_and(|s| s.status == "open") {
            break;
        }
        system.clock().sleep(JOB_POLL).await;
    }
    let url = format!("{url}/result");
    let result = call(client, &account.name, Method::GET, &url, String::new()).await?;
    row.count(result.status, system.clock().now().since(start));
    Ok(row)
}

async fn call(
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

impl Row {
    fn new(what: String) -> Self {
        Self {
            what,
            answered: 0,
            refused: 0,
            slowest: Duration::ZERO,
        }
    }

    fn count(
        &mut self,
        status: u16,
        took: Duration,
    ) {
        if status == 200 {
            self.answered += 1;
        } else {
            self.refused += 1;
        }
        self.slowest = self.slowest.max(took);
    }
}

fn print_table(rows: &[Row]) -> io::Result<()> {
    let mut text = format!(
        "{:<52} {:>8} {:>7} {:>9}\n",
        "what", "answered", "refused", "slowest"
    );
    for row in rows {
        text += &format!(
            "{:<52} {:>8} {:>7} {:>6} ms\n",
            row.what,
            row.answered,
            row.refused,
            row.slowest.as_millis(),
        );
    }
    print_text(&text)
}
