//! Records the placements of this entry's jobs on the log, and passes those of other entries to the
//! job queue.

use {
    super::Entry,
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            job_queue::{Claim, RunningJob},
            state::{JobPlacement, JobState, PlacementClaim, PlacementRecord, RecordBody},
        },
    },
};

/// The interval between checks for placements that are not on the log.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

const MAX_RECORDS_PER_CHECK: usize = 64;

/// The smallest change of the expected time of a claim for which the claim is recorded again.
const MIN_CLAIM_DRIFT: Duration = Duration::from_secs(300);

/// Records the placements and the claim of this entry's jobs as they change, and updates the queue
/// with those of other entries; never returns. Job starts do not wait for these records.
pub async fn sync_placements(entry: Rc<Entry>) {
    loop {
        let changed = entry.state.change_listener();
        update_other_entries(&entry);
        for record in due_records(&entry) {
            if entry
                .state
                .append(RecordBody::Placement(record))
                .await
                .is_err()
            {
                break;
            }
        }
        with_timeout(&*entry.clock, CHECK_INTERVAL, changed).await;
        entry.clock.sleep(CHECK_INTERVAL / 4).await;
    }
}

/// Returns the placement changes that are not on the log yet.
fn due_records(entry: &Entry) -> Vec<PlacementRecord> {
    let fold = entry.state.fold();
    let placements = fold.placements();
    let queue = entry.scheduler.queue();
    let is_recorded = |job: &RunningJob| {
        let recorded = placements.placement_of(job.id);
        recorded.is_some_and(|m| m.held == job.held && m.owner == entry.settings.name)
    };
    let started = queue.running().filter(|j| !is_recorded(j));
    let started = started.map(|j| PlacementRecord::Started {
        job: j.id,
        held: j.held.clone(),
    });
    let lost = placements.running().iter().filter(|(job, placement)| {
        placement.owner == entry.settings.name
            && queue.explain(**job).is_some_and(|e| e.is_waiting())
    });
    let lost = lost.map(|(job, _)| PlacementRecord::Waiting { job: *job });
    let claim = due_claim(
        entry,
        queue.claim(),
        placements.claims().get(&entry.settings.name),
    );
    let records = claim.into_iter().chain(started).chain(lost);
    records.take(MAX_RECORDS_PER_CHECK).collect()
}

/// Returns the record of a claim that is new, has moved or is no longer held.
fn due_claim(
    entry: &Entry,
    claim: Option<&Claim>,
    recorded: Option<&PlacementClaim>,
) -> Option<PlacementRecord> {
    let wall_offset_ms = entry
        .clock
        .wall_time()
        .0
        .saturating_sub(entry.clock.now().0);
    let claim = claim.map(|c| PlacementClaim {
        job: c.job,
        workers: c.workers.clone(),
        free_at_ms: c.at.0 + wall_offset_ms,
    });
    let same = match (&claim, recorded) {
        (Some(a), Some(b)) => {
            let drift = Duration::from_millis(a.free_at_ms.abs_diff(b.free_at_ms));
            a.job == b.job && a.workers == b.workers && drift < MIN_CLAIM_DRIFT
        }
        (None, None) => true,
        _ => false,
    };
    (!same).then_some(PlacementRecord::Claim { claim })
}

/// Updates the queue with the placements and claims of other entries' open jobs.
fn update_other_entries(entry: &Entry) {
    let fold = entry.state.fold();
    let placements = fold.placements();
    let document = fold.document();
    let others = placements.running().iter();
    let others = others.filter(|(_, placement)| placement.owner != entry.settings.name);
    let running = others.filter_map(|(id, placement)| {
        let job = fold.job(*id).filter(|j| j.is_open())?;
        running_job(entry, job, placement, document)
    });
    let claims = placements.claims().iter();
    let claims = claims.filter(|(owner, claim)| {
        let open = fold.job(claim.job).is_some_and(|j| j.is_open());
        **owner != entry.settings.name && open
    });
    let claims = claims.map(|(_, claim)| Claim {
        job: claim.job,
        workers: claim.workers.clone(),
        at: to_clock_time(entry, claim.free_at_ms),
    });
    entry
        .scheduler
        .set_other_entries(running.collect(), claims.collect());
}

fn running_job(
    entry: &Entry,
    job: &JobState,
    placement: &JobPlacement,
    document: &Document,
) -> Option<RunningJob> {
    let kind = document.job_kinds.get(&job.spec.kind)?;
    Some(RunningJob {
        id: job.spec.id,
        account: job.spec.account.clone(),
        kind: Rc::new(kind.clone()),
        held: placement.held.clone(),
        started_at: to_clock_time(entry, placement.since_ms),
        waited_since: to_clock_time(entry, job.spec.accepted_ms),
        progress: Duration::ZERO,
        preempted: false,
    })
}

/// Converts Unix time in milliseconds to this entry's clock; times before its start become zero.
fn to_clock_time(
    entry: &Entry,
    wall_ms: u64,
) -> Millis {
    let ago = entry.clock.wall_time().0.saturating_sub(wall_ms);
    let ahead = wall_ms.saturating_sub(entry.clock.wall_time().0);
    Millis(entry.clock.now().0.saturating_sub(ago) + ahead)
}
