//! Takes over the jobs of owners that are no longer live.

use {
    super::{Entry, JobOwner, MissingOwners},
    crate::{
        prelude::*,
        process::state::{JobRecord, JobState, LogCondition, RecordBody},
    },
    futures_util::future::join_all,
    std::collections::BTreeSet,
};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long an owner counts as live after its last append to the log.
const WRITER_LEASE: Duration = Duration::from_secs(5);

/// Takes over the jobs of missing owners; never returns. All takeovers that are due at one check
/// are appended concurrently, so that few writes to the log carry them.
pub async fn take_over_jobs(entry: Rc<Entry>) {
    let mut missing = MissingOwners::new(JobOwner {
        name: entry.settings.name.clone(),
        epoch: entry.state.epoch(),
    });
    loop {
        entry.clock.sleep(CHECK_INTERVAL).await;
        if entry.is_draining.get() || !is_fold_current(&entry) {
            continue;
        }
        let jobs = open_jobs(&entry);
        missing.observe(entry.clock.now(), owners_of(&jobs), |o| is_live(&entry, o));
        let live = entry.live_entry_names();
        let now = entry.clock.now();
        let due = jobs
            .iter()
            .filter(|j| missing.is_takeover_due(now, j, &live));
        let records: Vec<RecordBody> = due.map(|j| takeover_record(&entry, j)).collect();
        append_all(&entry, records).await;
    }
}

/// Returns whether the fold has reached the end of the log. With a lagging fold, a live owner could
/// appear missing.
fn is_fold_current(entry: &Entry) -> bool {
    let view = entry.state.log_view();
    view.condition == LogCondition::Following && entry.state.fold().next_offset() >= view.end
}

fn open_jobs(entry: &Entry) -> Vec<JobState> {
    let fold = entry.state.fold();
    fold.jobs().filter(|j| j.is_open()).cloned().collect()
}

fn owners_of(jobs: &[JobState]) -> BTreeSet<JobOwner> {
    let owners = jobs.iter().map(|j| JobOwner {
        name: j.owner.clone(),
        epoch: j.owner_epoch,
    });
    owners.collect()
}

/// Returns whether an owner is live: it is a live member, or it has recently appended to the log.
/// Earlier incarnations of this entry are not live.
fn is_live(
    entry: &Entry,
    owner: &JobOwner,
) -> bool {
    if owner.name == entry.settings.name {
        return owner.epoch == entry.state.epoch();
    }
    let fold = entry.state.fold();
    let writer = fold.writers().get(owner.epoch);
    let wrote =
        writer.is_some_and(|m| entry.clock.wall_time().since(Millis(m.appended_ms)) < WRITER_LEASE);
    wrote || entry.live_entry_names().contains(&owner.name)
}

fn takeover_record(
    entry: &Entry,
    job: &JobState,
) -> RecordBody {
    RecordBody::Job(JobRecord::OwnerChanged {
        job: job.spec.id,
        owner: entry.settings.name.clone(),
        follows: job.ownership,
    })
}

async fn append_all(
    entry: &Entry,
    records: Vec<RecordBody>,
) {
    if records.is_empty() {
        return;
    }
    let taken = records.len();
    let appends = records.into_iter().map(|r| entry.state.append(r));
    let failed = join_all(appends)
        .await
        .iter()
        .filter(|r| r.is_err())
        .count();
    tracing::info!(taken, failed, "took over jobs of missing owners");
}
