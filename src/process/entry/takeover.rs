//! Takes over the jobs of owners that are gone.

use {
    super::{Entry, Owner, OwnerWatch},
    crate::{
        prelude::*,
        process::state::{JobRecord, JobState, LogCondition, RecordBody},
    },
    futures_util::future::join_all,
    std::collections::BTreeSet,
};

/// How often owners are looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// How long an owner counts as live after it has written to the log.
const WRITER_LEASE: Duration = Duration::from_secs(5);

/// Takes jobs over for ever. All that are due together go to the log in a few appends.
pub async fn take_over_jobs(entry: Rc<Entry>) {
    let mut watch = OwnerWatch::new(Owner {
        name: entry.settings.name.clone(),
        epoch: entry.state.epoch(),
    });
    loop {
        entry.clock.sleep(LOOK_INTERVAL).await;
        if entry.draining.get() || !has_read_whole_log(&entry) {
            continue;
        }
        let jobs = open_jobs(&entry);
        watch.observe(entry.clock.now(), owners_of(&jobs), |o| is_live(&entry, o));
        let live = entry.live_entries();
        let now = entry.clock.now();
        let due = jobs.iter().filter(|j| watch.is_due(now, j, &live));
        let records: Vec<RecordBody> = due.map(|j| takeover_record(&entry, j)).collect();
        record_all(&entry, records).await;
    }
}

/// Tells whether the fold is as new as the log. A reader that is behind does not judge owners.
fn has_read_whole_log(entry: &Entry) -> bool {
    let view = entry.state.log_view();
    view.condition == LogCondition::Following && entry.state.fold().next_offset() >= view.end
}

fn open_jobs(entry: &Entry) -> Vec<JobState> {
    let fold = entry.state.fold();
    fold.jobs().filter(|j| j.is_open()).cloned().collect()
}

fn owners_of(jobs: &[JobState]) -> BTreeSet<Owner> {
    let owners = jobs.iter().map(|j| Owner {
        name: j.owner.clone(),
        epoch: j.owner_epoch,
    });
    owners.collect()
}

/// Tells whether an owner lives: it is heard of, or it has just written to the log. An earlier
/// start of this entry does not.
fn is_live(
    entry: &Entry,
    owner: &Owner,
) -> bool {
    if owner.name == entry.settings.name {
        return owner.epoch == entry.state.epoch();
    }
    let fold = entry.state.fold();
    let mark = fold.writers().get(owner.epoch);
    let wrote =
        mark.is_some_and(|m| entry.clock.wall().since(Millis(m.appended_ms)) < WRITER_LEASE);
    wrote || entry.live_entries().contains(&owner.name)
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

async fn record_all(
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
    tracing::info!(taken, failed, "took jobs over from owners that are gone");
}
