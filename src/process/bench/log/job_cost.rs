//! Measures the appends and bytes that a job adds to the log.

use {
    super::in_force::start_system,
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError, Table},
            local::LocalSystem,
        },
        request::{JobSubmission, submit_job},
    },
};

/// The interval between checks for open jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Runs jobs and counts the appends and bytes that they add to the log.
pub(super) async fn measure_job_cost(cx: &BenchCx) -> Result<Table, BenchError> {
    let jobs = if cx.is_quick { 4 } else { 60 };
    let system = start_system().await?;
    let (appends, bytes) = (system.log().append_count(), system.log().stored_bytes());
    for _ in 0..jobs {
        submit_urgent_job(&system, "run_ms=50").await?;
    }
    wait_until_jobs_end(&system).await;
    let appends = (system.log().append_count() - appends) as f64;
    let bytes = (system.log().stored_bytes() - bytes) as f64;
    system.stop().await;
    let columns = ["jobs", "appends a job", "bytes a job"];
    let mut table = Table::new("job-cost", &columns);
    let count = f64::from(jobs);
    table.push_row(vec![
        jobs.to_string(),
        format!("{:.2}", appends / count),
        format!("{:.0}", bytes / count),
    ]);
    Ok(table)
}

/// Submits an urgent job with a payload.
///
/// # Errors
/// [`BenchError::Failed`] when the job is not accepted.
pub(super) async fn submit_urgent_job(
    system: &LocalSystem,
    payload: &str,
) -> Result<(), BenchError> {
    let entry = system.entries()[0].entry();
    let submission = JobSubmission {
        kind: "crash-cluster".into(),
        payload: payload.to_owned(),
    };
    let submitted = submit_job(entry, &"jozi-studios".into(), submission).await;
    submitted
        .map(drop)
        .map_err(|e| BenchError::Failed(e.to_string()))
}

/// Waits until no job is open at the first entry.
pub(super) async fn wait_until_jobs_end(system: &LocalSystem) {
    let entry = system.entries()[0].entry();
    while entry.state.fold().jobs().any(|j| j.is_open()) {
        system.clock().sleep(CHECK_INTERVAL).await;
    }
}
