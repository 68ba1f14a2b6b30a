//! What was given to jobs and does not show in announcements yet.

use {
    super::HeldCapacity,
    crate::{prelude::*, process::membership::Announcement, request::FleetView},
    std::collections::BTreeMap,
};

/// The longest time that announcements may lag behind a start.
const ANNOUNCEMENT_LAG: Duration = Duration::from_secs(2);

/// The longest time that the reservation of a gang may take.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

/// Which of its announcements an upstream has made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct AnnouncementId {
    incarnation: u64,
    sequence: u64,
}

/// The accelerators of one job on one worker.
#[derive(Clone, Debug)]
struct PendingAllocation {
    held: HeldCapacity,
    /// The last announcement from before the reservation, once that is made.
    baseline: Option<AnnouncementId>,
    expires_at: Millis,
}

/// The accelerators that jobs of this entry were given and that announcements may still show as
/// idle.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingAllocations {
    jobs: BTreeMap<JobId, Vec<PendingAllocation>>,
}

impl PendingAllocations {
    /// Notes what a job was given; it is being reserved.
    pub(super) fn insert(
        &mut self,
        now: Millis,
        job: JobId,
        held: &[HeldCapacity],
    ) {
        let until = now + Millis::from(RESERVATION_TIME);
        let expected = held.iter().map(|held| PendingAllocation {
            held: held.clone(),
            baseline: None,
            expires_at: until,
        });
        self.jobs.insert(job, expected.collect());
    }

    /// Notes that a job's reservations stand, so that the next announcements show them.
    pub(super) fn confirm(
        &mut self,
        now: Millis,
        job: JobId,
        live: &[Rc<Announcement>],
    ) {
        for expected in self.jobs.get_mut(&job).into_iter().flatten() {
            let upstream = &expected.held.upstream;
            let announcement = live.iter().find(|u| u.upstream == *upstream);
            expected.baseline = announcement.map(|u| announcement_id(u));
            expected.expires_at = now + Millis::from(ANNOUNCEMENT_LAG);
        }
    }

    /// Forgets a job.
    pub(super) fn remove(
        &mut self,
        job: JobId,
    ) {
        self.jobs.remove(&job);
    }

    /// Takes what is expected to be held out of a view, and forgets what announcements show.
    pub(super) fn subtract_from(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
        view: &mut FleetView,
    ) {
        self.jobs.retain(|_, expected| {
            expected.retain(|e| now < e.expires_at);
            expected.retain(|e| {
                let Some(i) = view.fleet.index_of(&e.held.upstream) else {
                    return false;
                };
                let shown = e
                    .baseline
                    .is_some_and(|before| announcement_id(&live[i]) != before);
                if !shown {
                    let room = &mut view.capacities[i];
                    room.idle = room.idle.without(e.held.accelerators);
                    room.evictable = room.evictable.without(e.held.accelerators);
                }
                !shown
            });
            !expected.is_empty()
        });
    }
}

fn announcement_id(announcement: &Announcement) -> AnnouncementId {
    AnnouncementId {
        incarnation: announcement.incarnation,
        sequence: announcement.sequence,
    }
}
