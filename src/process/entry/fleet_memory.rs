//! The fleet as an entry has known it.

use {
    crate::{
        prelude::*,
        process::membership::Announcement,
        version::{Fleet, FleetWorker},
    },
    std::collections::BTreeMap,
};

/// How long an upstream counts for the layout after it was last heard, so that a restart of its
/// guard moves nothing.
pub(super) const LOSS_GRACE: Duration = Duration::from_secs(20);

/// How long the sizes of lost upstreams are remembered.
const SIZE_MEMORY: Duration = Duration::from_secs(24 * 3600);

/// One upstream that was heard.
#[derive(Clone, Debug)]
struct Remembered {
    worker: FleetWorker,
    heard: Millis,
}

/// The upstreams that an entry has heard, also those that are silent now.
#[derive(Clone, Debug, Default)]
pub struct FleetMemory {
    workers: BTreeMap<UpstreamName, Remembered>,
}

impl FleetMemory {
    /// Takes the live upstreams over.
    pub fn hear(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        for announcement in live {
            match self.workers.get_mut(&announcement.upstream) {
                Some(known) if announcement.matches_worker(&known.worker) => known.heard = now,
                _ => {
                    let remembered = Remembered {
                        worker: announcement.fleet_worker(),
                        heard: now,
                    };
                    self.workers
                        .insert(announcement.upstream.clone(), remembered);
                }
            }
        }
        self.workers.retain(|_, r| now.since(r.heard) < SIZE_MEMORY);
    }

    /// Returns the fleet that guarantees are laid on.
    pub fn present(
        &self,
        now: Millis,
    ) -> Fleet {
        let heard = self.workers.values();
        let present = heard.filter(|r| now.since(r.heard) < LOSS_GRACE);
        Fleet::new(present.map(|r| r.worker.clone()).collect())
    }

    /// Returns the largest fleet that is remembered.
    pub fn known(&self) -> Fleet {
        let workers = self.workers.values();
        Fleet::new(workers.map(|r| r.worker.clone()).collect())
    }
}
