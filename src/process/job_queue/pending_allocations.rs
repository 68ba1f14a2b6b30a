//! Allocations to jobs that announcements do not show yet.

use {
    super::HeldCapacity,
    crate::{prelude::*, process::membership::Announcement, request::FleetView},
    std::collections::BTreeMap,
};

/// The longest time by which announcements may lag behind a reservation.
const ANNOUNCEMENT_LAG: Duration = Duration::from_secs(2);

/// The longest time that the reservation of a gang may take.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

/// Identifies one announcement of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct AnnouncementId {
    incarnation: u64,
    sequence: u64,
}

/// The allocation of one job on one worker.
#[derive(Clone, Debug)]
struct PendingAllocation {
    held: HeldCapacity,
    /// The last announcement known when the reservations were made; `None` before.
    baseline: Option<AnnouncementId>,
    expires_at: Millis,
}

/// The accelerators that are allocated to jobs of this entry and that announcements may still show
/// as idle.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingAllocations {
    jobs: BTreeMap<JobId, Vec<PendingAllocation>>,
}

impl PendingAllocations {
    /// Records the allocations of a job, whose reservations are being made.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        job: JobId,
        held: &[HeldCapacity],
    ) {
        let expires_at = now + Millis::from(RESERVATION_TIME);
        let allocations = held.iter().map(|held| PendingAllocation {
            held: held.clone(),
            baseline: None,
            expires_at,
        });
        self.jobs.insert(job, allocations.collect());
    }

    /// Records that a job's reservations are made, so that later announcements show them.
    pub(super) fn confirm(
        &mut self,
        now: Millis,
        job: JobId,
        live: &[Rc<Announcement>],
    ) {
        for allocation in self.jobs.get_mut(&job).into_iter().flatten() {
            let upstream = &allocation.held.upstream;
            let announcement = live.iter().find(|u| u.upstream == *upstream);
            allocation.baseline = announcement.map(|u| announcement_id(u));
            allocation.expires_at = now + Millis::from(ANNOUNCEMENT_LAG);
        }
    }

    /// Removes a job.
    pub(super) fn remove(
        &mut self,
        job: JobId,
    ) {
        self.jobs.remove(&job);
    }

    /// Subtracts the allocated accelerators and plain tasks from a view. Allocations that have expired, or that
    /// announcements show, are dropped.
    pub(super) fn subtract_from(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
        view: &mut FleetView,
    ) {
        self.jobs.retain(|_, allocations| {
            allocations.retain(|allocation| now < allocation.expires_at);
            allocations.retain(|allocation| {
                let Some(i) = view.fleet.index_of(&allocation.held.upstream) else {
                    return false;
                };
                let shown = allocation
                    .baseline
                    .is_some_and(|baseline| announcement_id(&live[i]) != baseline);
                if !shown {
                    let capacity = &mut view.capacities[i];
                    capacity.idle = capacity.idle.without(allocation.held.accelerators);
                    capacity.evictable = capacity.evictable.without(allocation.held.accelerators);
                    capacity.free_plain_tasks = capacity
                        .free_plain_tasks
                        .saturating_sub(allocation.held.plain_tasks);
                }
                !shown
            });
            !allocations.is_empty()
        });
    }
}

fn announcement_id(announcement: &Announcement) -> AnnouncementId {
    AnnouncementId {
        incarnation: announcement.incarnation,
        sequence: announcement.sequence,
    }
}
