//! Measures how long queued jobs are without a live owner after all entries are lost.

use {
    super::in_force::start_system,
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError, Table},
            local::LocalSystem,
            state::{JobRecord, RecordBody},
        },
        request::JobSpec,
    },
    futures_util::future::join_all,
    std::time::Instant,
};

/// The interval between checks of the jobs' owners.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Appends accepted jobs, restarts all entries at once, and measures the time until each job has a
/// live owner.
pub(super) async fn measure_recovery(cx: &BenchCx) -> Result<Table, BenchError> {
    let jobs = if cx.is_quick { 50 } else { 1000 };
    let mut system = start_system().await?;
    append_accepted_jobs(&system, jobs).await?;
    let appends = system.log().append_count();
    let lost = Instant::now();
    system.restart_all_entries().await?;
    let started = Instant::now();
    while count_owned_jobs(&system) < jobs {
        system.clock().sleep(CHECK_INTERVAL).await;
    }
    let owned = Instant::now();
    let appends = system.log().append_count() - appends;
    system.stop().await;
    let columns = ["queued jobs", "restart ms", "to owners ms", "appends"];
    let mut table = Table::new("recovery", &columns);
    table.push_row(vec![
        jobs.to_string(),
        (started - lost).as_millis().to_string(),
        (owned - started).as_millis().to_string(),
        appends.to_string(),
    ]);
    Ok(table)
}

async fn append_accepted_jobs(
    system: &LocalSystem,
    jobs: usize,
) -> Result<(), BenchError> {
    let entries = system.entries();
    let appends = (0..jobs).map(|i| {
        let entry = entries[i % entries.len()].entry();
        let spec = JobSpec {
            id: entry.ids.job_id(),
            account: "jozi-studios".into(),
            kind: "overnight-retrain".into(),
            payload: Bytes::from_static(b"run_ms=600000"),
            accepted_ms: entry.clock.wall_time().0,
        };
        let owner = entry.settings.name.clone();
        let record = RecordBody::Job(JobRecord::Accepted { spec, owner });
        entry.state.append(record)
    });
    let results = join_all(appends).await;
    match results.into_iter().find_map(Result::err) {
        Some(e) => Err(BenchError::Failed(e.to_string())),
        None => Ok(()),
    }
}

/// Counts the open jobs whose owner epoch is that of a running entry, in the fold of the first
/// entry.
fn count_owned_jobs(system: &LocalSystem) -> usize {
    let epochs: Vec<u64> = system
        .entries()
        .iter()
        .map(|e| e.entry().state.epoch())
        .collect();
    let Some(first) = system.entries().first() else {
        return 0;
    };
    let fold = first.entry().state.fold();
    fold.jobs()
        .filter(|j| j.is_open() && epochs.contains(&j.owner_epoch))
        .count()
}
