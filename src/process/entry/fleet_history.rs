//! The upstreams that an entry has seen, for guarantees and for size checks of gangs.

use {
    crate::{
        prelude::*,
        process::membership::Announcement,
        version::{Fleet, FleetWorker},
    },
    std::collections::BTreeMap,
};

/// How long an upstream stays part of the layout's fleet after its last announcement, so that a
/// restart of its guard moves no guarantee.
pub(super) const LOSS_GRACE: Duration = Duration::from_secs(20);

/// How long the sizes of lost upstreams are kept.
const SIZE_RETENTION: Duration = Duration::from_secs(24 * 3600);

#[derive(Clone, Debug)]
struct SeenWorker {
    worker: FleetWorker,
    last_seen: Millis,
}

/// The upstreams that an entry has seen, including those that no longer announce themselves.
#[derive(Clone, Debug, Default)]
pub struct FleetHistory {
    workers: BTreeMap<UpstreamName, SeenWorker>,
}

impl FleetHistory {
    /// Records the live upstreams and drops those not seen for a day.
    pub fn observe(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        for announcement in live {
            match self.workers.get_mut(&announcement.upstream) {
                Some(known) if announcement.matches_worker(&known.worker) => known.last_seen = now,
                _ => {
                    let seen = SeenWorker {
                        worker: announcement.fleet_worker(),
                        last_seen: now,
                    };
                    self.workers.insert(announcement.upstream.clone(), seen);
                }
            }
        }
        self.workers
            .retain(|_, r| now.since(r.last_seen) < SIZE_RETENTION);
    }

    /// Returns the fleet on which guarantees are placed: the upstreams seen recently.
    pub fn current_fleet(
        &self,
        now: Millis,
    ) -> Fleet {
        let seen = self.workers.values();
        let present = seen.filter(|r| now.since(r.last_seen) < LOSS_GRACE);
        Fleet::new(present.map(|r| r.worker.clone()).collect())
    }

    /// Returns all upstreams seen during the last day, for checks whether a gang could ever fit.
    pub fn known_fleet(&self) -> Fleet {
        let workers = self.workers.values();
        Fleet::new(workers.map(|r| r.worker.clone()).collect())
    }
}
