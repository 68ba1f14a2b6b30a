//! Tells the log where this entry's jobs run, and the queue where others' do.

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

/// How often the queue is looked at for places that the log does not have.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// The most records of one look.
const MAX_RECORDS: usize = 64;

/// The change of a claim's date that is worth a record.
const CLAIM_DRIFT: Duration = Duration::from_secs(300);

/// Records the places and the claim of this entry's jobs as they change, and hands the queue what
/// other entries recorded, for ever. Starts never wait for it.
pub async fn keep_placements(entry: Rc<Entry>) {
    loop {
        let changed = entry.state.change_listener();
        hand_over_others(&entry);
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
        with_timeout(&*entry.clock, LOOK_INTERVAL, changed).await;
        entry.clock.sleep(LOOK_INTERVAL / 4).await;
    }
}

/// Returns what the log does not have yet.
fn due_records(entry: &Entry) -> Vec<PlacementRecord> {
    let fold = entry.state.fold();
    let placements = fold.placements();
    let queue = entry.turns.queue();
    let known = |job: &RunningJob| {
        let mark = placements.placement_of(job.id);
        mark.is_some_and(|m| m.held == job.held && m.owner == entry.settings.name)
    };
    let started = queue.running().filter(|j| !known(j));
    let started = started.map(|j| PlacementRecord::Started {
        job: j.id,
        held: j.held.clone(),
    });
    let lost = placements.running().iter().filter(|(job, mark)| {
        mark.owner == entry.settings.name && queue.explain(**job).is_some_and(|e| e.is_waiting())
    });
    let lost = lost.map(|(job, _)| PlacementRecord::Waiting { job: *job });
    let claim = due_claim(
        entry,
        queue.claim(),
        placements.claims().get(&entry.settings.name),
    );
    let records = claim.into_iter().chain(started).chain(lost);
    records.take(MAX_RECORDS).collect()
}

/// Returns the record of a claim that is new or has moved.
fn due_claim(
    entry: &Entry,
    claim: Option<&Claim>,
    known: Option<&PlacementClaim>,
) -> Option<PlacementRecord> {
    let to_wall = entry.clock.wall().0.saturating_sub(entry.clock.now().0);
    let claim = claim.map(|c| PlacementClaim {
        job: c.job,
        workers: c.workers.clone(),
        free_at_ms: c.at.0 + to_wall,
    });
    let same = match (&claim, known) {
        (Some(a), Some(b)) => {
            let drift = Duration::from_millis(a.free_at_ms.abs_diff(b.free_at_ms));
            a.job == b.job && a.workers == b.workers && drift < CLAIM_DRIFT
        }
        (None, None) => true,
        _ => false,
    };
    (!same).then_some(PlacementRecord::Claim { claim })
}

/// Hands the queue the places and claims of other entries' jobs.
fn hand_over_others(entry: &Entry) {
    let fold = entry.state.fold();
    let placements = fold.placements();
    let document = fold.document();
    let others = placements.running().iter();
    let others = others.filter(|(_, mark)| mark.owner != entry.settings.name);
    let running = others.filter_map(|(id, mark)| {
        let job = fold.job(*id).filter(|j| j.is_open())?;
        running_of(entry, job, mark, document)
    });
    let claims = placements.claims().iter();
    let claims = claims.filter(|(owner, claim)| {
        let open = fold.job(claim.job).is_some_and(|j| j.is_open());
        **owner != entry.settings.name && open
    });
    let claims = claims.map(|(_, claim)| Claim {
        job: claim.job,
        workers: claim.workers.clone(),
        at: to_clock(entry, claim.free_at_ms),
    });
    entry
        .turns
        .set_other_entries(running.collect(), claims.collect());
}

fn running_of(
    entry: &Entry,
    job: &JobState,
    mark: &JobPlacement,
    document: &Document,
) -> Option<RunningJob> {
    let kind = document.job_kinds.get(&job.spec.kind)?;
    Some(RunningJob {
        id: job.spec.id,
        account: job.spec.account.clone(),
        kind: Rc::new(kind.clone()),
        held: mark.held.clone(),
        started_at: to_clock(entry, mark.since_ms),
        waited_since: to_clock(entry, job.spec.accepted_ms),
        progress: Duration::ZERO,
        preempted: false,
    })
}

/// Turns a time of day into this entry's clock; what was before its start is its start.
fn to_clock(
    entry: &Entry,
    wall_ms: u64,
) -> Millis {
    let ago = entry.clock.wall().0.saturating_sub(wall_ms);
    let ahead = wall_ms.saturating_sub(entry.clock.wall().0);
    Millis(entry.clock.now().0.saturating_sub(ago) + ahead)
}
