//! The dated claim of a job that waits for room.

use {
    super::{Estimates, RunningJob},
    crate::{
        prelude::*,
        request::{FleetView, GangPlacementRequest},
        version::Adjacency,
    },
    serde::Serialize,
    std::collections::{BTreeMap, BTreeSet},
};

/// Workers that are kept for a waiting job until it starts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The job.
    pub job: JobId,
    /// The workers.
    pub workers: BTreeSet<UpstreamName>,
    /// When they are expected to have room, on this entry's clock.
    pub at: Millis,
}

/// Accelerators that are expected to come free.
#[derive(Clone, Copy, Debug)]
struct ExpectedRelease {
    at: Millis,
    worker: usize,
    accelerators: AcceleratorSet,
}

/// Claims the group of workers that is expected to have room for a gang first. `None` when no
/// group ever has, as far as the running jobs tell.
pub(super) fn claim_earliest<'a, I>(
    now: Millis,
    job: JobId,
    ask: &GangPlacementRequest,
    view: &FleetView,
    running: I,
    estimates: &Estimates,
) -> Option<Claim>
where
    I: Iterator<Item = &'a RunningJob>,
{
    let releases = expected_releases(now, view, running, estimates);
    let levels = Adjacency::ALL
        .into_iter()
        .filter(|l| *l <= ask.gang.adjacency);
    let groups = levels.flat_map(|l| view.fleet.groups(l));
    let claims = groups.filter_map(|g| claim_group(now, job, ask, view, g, &releases));
    claims.min_by_key(|c| (c.at, c.workers.len()))
}

/// Lists what the running jobs are expected to give back, by worker and in order of time.
fn expected_releases<'a, I>(
    now: Millis,
    view: &FleetView,
    running: I,
    estimates: &Estimates,
) -> BTreeMap<usize, Vec<ExpectedRelease>>
where
    I: Iterator<Item = &'a RunningJob>,
{
    let mut releases: BTreeMap<usize, Vec<ExpectedRelease>> = BTreeMap::new();
    for job in running {
        let elapsed = job.elapsed(now);
        let rest =
            estimates.remaining_time(&job.account, &job.kind.name, job.kind.run_time, elapsed);
        for held in &job.held {
            let Some(worker) = view.fleet.index_of(&held.upstream) else {
                continue;
            };
            releases.entry(worker).or_default().push(ExpectedRelease {
                at: now + Millis::from(rest.typical),
                worker,
                accelerators: held.accelerators,
            });
        }
    }
    releases
}

/// Finds when a group is expected to have room, and the workers that then hold the gang.
fn claim_group(
    now: Millis,
    job: JobId,
    ask: &GangPlacementRequest,
    view: &FleetView,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<ExpectedRelease>>,
) -> Option<Claim> {
    let mut rooms: BTreeMap<usize, AcceleratorSet> = BTreeMap::new();
    for worker in group {
        let tiers = view.capacities[*worker].tiers(&ask.account, ask.evictable);
        rooms.insert(*worker, tiers.all());
    }
    let mut coming: Vec<ExpectedRelease> = group
        .iter()
        .flat_map(|w| releases.get(w))
        .flatten()
        .copied()
        .collect();
    coming.sort_by_key(|r| r.at);
    let mut at = now;
    let mut coming = coming.into_iter();
    while members_that_fit(ask, rooms.values()) < ask.gang.members {
        let release = coming.next()?;
        let usable = usable_part(ask, view, &release);
        let room = rooms.entry(release.worker).or_default();
        *room = room.union(usable);
        at = release.at;
    }
    Some(Claim {
        job,
        workers: fewest_workers(ask, view, &rooms),
        at,
    })
}

/// Returns the part of a release that the job may have.
fn usable_part(
    ask: &GangPlacementRequest,
    view: &FleetView,
    release: &ExpectedRelease,
) -> AcceleratorSet {
    let mut room = view.capacities[release.worker].clone();
    room.idle = release.accelerators;
    room.tiers(&ask.account, ask.evictable).all()
}

fn members_that_fit<'a, I>(
    ask: &GangPlacementRequest,
    rooms: I,
) -> u32
where
    I: Iterator<Item = &'a AcceleratorSet>,
{
    rooms.map(|r| r.len() / ask.gang.accelerators).sum()
}

/// Returns the workers with the most room that together hold the gang.
fn fewest_workers(
    ask: &GangPlacementRequest,
    view: &FleetView,
    rooms: &BTreeMap<usize, AcceleratorSet>,
) -> BTreeSet<UpstreamName> {
    let mut by_room: Vec<usize> = rooms.keys().copied().collect();
    by_room.sort_by_key(|w| (std::cmp::Reverse(rooms[w].len()), *w));
    let mut workers = BTreeSet::new();
    let mut members = 0;
    for worker in by_room {
        if members >= ask.gang.members {
            break;
        }
        members += rooms[&worker].len() / ask.gang.accelerators;
        workers.insert(view.upstream_of(worker).clone());
    }
    workers
}
