//! State that the threads of a measured fleet share.

use {
    crate::prelude::*,
    std::sync::{
        Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// The number of data centres, half of them in each of two regions.
    pub data_centres: u32,
    /// The number of entries in each data centre.
    pub entries_per_data_centre: u32,
    /// The number of upstreams in all data centres.
    pub upstreams: u32,
}

/// The phase of a fleet's run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// No load changes.
    Idle,
    /// The load of every upstream changes continually.
    Loaded,
    /// Every entry has restarted, all but the first at their previous addresses.
    Restarted,
    /// The last data centre has failed.
    DataCentreLost,
    /// The run has ended.
    Finished,
}

/// The state that the threads of a fleet share.
#[derive(Debug)]
pub(super) struct FleetState {
    pub(super) plan: FleetPlan,
    phase: AtomicUsize,
    /// The address of the first entry, through which all other nodes are discovered.
    seed: Mutex<Option<SocketAddr>>,
    /// The bytes that the guards have sent and received, UDP and IP headers included.
    pub(super) guard_bytes: AtomicU64,
    /// The processor time of the guards' thread, in microseconds.
    pub(super) guard_cpu_us: AtomicU64,
    /// The membership bytes that the other entries have counted on the link between regions.
    pub(super) link_bytes: AtomicU64,
    /// The bytes that each of the other entries has sent and received.
    pub(super) entry_bytes: Mutex<Vec<u64>>,
}

impl FleetPlan {
    /// Returns the names of a data centre's region and of the data centre.
    pub(super) fn region_and_name(
        &self,
        data_centre: u32,
    ) -> (String, String) {
        let region = u32::from(data_centre >= self.data_centres / 2);
        (format!("region-{region}"), format!("dc-{data_centre}"))
    }

    /// Returns the number of upstreams in the last data centre.
    pub(super) fn last_data_centre_upstreams(&self) -> u32 {
        let last = self.data_centres - 1;
        (0..self.upstreams)
            .filter(|i| i % self.data_centres == last)
            .count() as u32
    }
}

impl FleetState {
    pub(super) fn new(plan: FleetPlan) -> Self {
        Self {
            plan,
            phase: AtomicUsize::new(0),
            seed: Mutex::new(None),
            guard_bytes: AtomicU64::new(0),
            guard_cpu_us: AtomicU64::new(0),
            link_bytes: AtomicU64::new(0),
            entry_bytes: Mutex::default(),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Idle,
            1 => Phase::Loaded,
            2 => Phase::Restarted,
            3 => Phase::DataCentreLost,
            _ => Phase::Finished,
        }
    }

    pub(super) fn set_phase(
        &self,
        phase: Phase,
    ) {
        self.phase.store(phase as usize, Ordering::Relaxed);
    }

    pub(super) fn set_seed(
        &self,
        address: SocketAddr,
    ) {
        if let Ok(mut seed) = self.seed.lock() {
            *seed = Some(address);
        }
    }

    pub(super) fn seed(&self) -> Option<SocketAddr> {
        self.seed.lock().ok().and_then(|s| *s)
    }
}
