//! Reservations of workers for a job that waits for capacity.

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

/// Workers that are reserved for a waiting job. Jobs that are expected to end before `at` may use
/// them until then; others get only what their accounts are guaranteed there.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The job.
    pub job: JobId,
    /// The workers.
    pub workers: BTreeSet<UpstreamName>,
    /// The time at which they are expected to have enough capacity, on this entry's clock.
    pub at: Millis,
}

/// Accelerators that a running job is expected to release.
#[derive(Clone, Copy, Debug)]
struct ExpectedRelease {
    at: Millis,
    worker: usize,
    accelerators: AcceleratorSet,
}

/// Claims the group of workers that is expected to have capacity for a gang first, and of equal
/// ones the group with the fewest workers. `None` when no group has it even after all running jobs
/// have ended.
pub(super) fn claim_earliest<'a, I>(
    now: Millis,
    job: JobId,
    request: &GangPlacementRequest,
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
        .filter(|l| *l <= request.gang.adjacency);
    let groups = levels.flat_map(|l| view.fleet.groups(l));
    let claims = groups.filter_map(|g| claim_group(now, job, request, view, g, &releases));
    claims.min_by_key(|c| (c.at, c.workers.len()))
}

/// Returns what the running jobs are expected to release, by worker.
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
        let remaining =
            estimates.remaining_time(&job.account, &job.kind.name, job.kind.run_time, elapsed);
        for held in &job.held {
            let Some(worker) = view.fleet.index_of(&held.upstream) else {
                continue;
            };
            releases.entry(worker).or_default().push(ExpectedRelease {
                at: now + Millis::from(remaining.typical),
                worker,
                accelerators: held.accelerators,
            });
        }
    }
    releases
}

/// Finds the time at which a group is expected to have capacity for the gang, and the workers that
/// hold it then.
fn claim_group(
    now: Millis,
    job: JobId,
    request: &GangPlacementRequest,
    view: &FleetView,
    group: &[usize],
    releases: &BTreeMap<usize, Vec<ExpectedRelease>>,
) -> Option<Claim> {
    let mut capacities: BTreeMap<usize, AcceleratorSet> = BTreeMap::new();
    for worker in group {
        let tiers = view.capacities[*worker].tiers(&request.account, request.evictable);
        capacities.insert(*worker, tiers.all());
    }
    let mut upcoming: Vec<ExpectedRelease> = group
        .iter()
        .flat_map(|w| releases.get(w))
        .flatten()
        .copied()
        .collect();
    upcoming.sort_by_key(|r| r.at);
    let mut at = now;
    let mut upcoming = upcoming.into_iter();
    while members_that_fit(request, capacities.values()) < request.gang.members {
        let release = upcoming.next()?;
        let usable = usable_part(request, view, &release);
        let capacity = capacities.entry(release.worker).or_default();
        *capacity = capacity.union(usable);
        at = release.at;
    }
    Some(Claim {
        job,
        workers: fewest_workers(request, view, &capacities),
        at,
    })
}

/// Returns the part of a release that the job may use.
fn usable_part(
    request: &GangPlacementRequest,
    view: &FleetView,
    release: &ExpectedRelease,
) -> AcceleratorSet {
    let mut capacity = view.capacities[release.worker].clone();
    capacity.idle = release.accelerators;
    capacity.tiers(&request.account, request.evictable).all()
}

fn members_that_fit<'a, I>(
    request: &GangPlacementRequest,
    capacities: I,
) -> u32
where
    I: Iterator<Item = &'a AcceleratorSet>,
{
    capacities
        .map(|c| c.len() / request.gang.accelerators)
        .sum()
}

/// Returns the workers with the most capacity that together hold the gang.
fn fewest_workers(
    request: &GangPlacementRequest,
    view: &FleetView,
    capacities: &BTreeMap<usize, AcceleratorSet>,
) -> BTreeSet<UpstreamName> {
    let mut by_capacity: Vec<usize> = capacities.keys().copied().collect();
    by_capacity.sort_by_key(|w| (std::cmp::Reverse(capacities[w].len()), *w));
    let mut workers = BTreeSet::new();
    let mut members = 0;
    for worker in by_capacity {
        if members >= request.gang.members {
            break;
        }
        members += capacities[&worker].len() / request.gang.accelerators;
        workers.insert(view.upstream_of(worker).clone());
    }
    workers
}
