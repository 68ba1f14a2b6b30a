//! What the threads of a measured fleet tell each other.

use {
    crate::prelude::*,
    std::sync::{
        Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

/// The sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// The data centres, half of them in each of two regions.
    pub data_centres: u32,
    /// The entries of each data centre.
    pub entries: u32,
    /// The upstreams of all data centres.
    pub upstreams: u32,
}

/// What a fleet is doing.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Phase {
    /// Nothing changes.
    Idle,
    /// The load of every upstream changes all the time.
    Loaded,
    /// Every entry has started anew, the others at their addresses.
    Restarted,
    /// The last data centre has died.
    Lost,
    /// The run is over.
    Over,
}

/// The state that the threads share.
#[derive(Debug)]
pub(super) struct FleetStage {
    pub(super) plan: FleetPlan,
    phase: AtomicUsize,
    /// Where the first entry is, behind which all others are found.
    seed: Mutex<Option<SocketAddr>>,
    /// The bytes that the guards have sent and received.
    pub(super) guard_bytes: AtomicU64,
    /// The processor time of the guards' thread, in microseconds.
    pub(super) guard_cpu_us: AtomicU64,
    /// The bytes that the other entries have sent across the link.
    pub(super) link_bytes: AtomicU64,
}

impl FleetPlan {
    /// Returns the region and the name of a data centre.
    pub(super) fn place(
        &self,
        data_centre: u32,
    ) -> (String, String) {
        let region = u32::from(data_centre >= self.data_centres / 2);
        (format!("region-{region}"), format!("dc-{data_centre}"))
    }

    /// Returns the number of upstreams in the last data centre.
    pub(super) fn last_upstreams(&self) -> u32 {
        let last = self.data_centres - 1;
        (0..self.upstreams)
            .filter(|i| i % self.data_centres == last)
            .count() as u32
    }
}

impl FleetStage {
    pub(super) fn new(plan: FleetPlan) -> Self {
        Self {
            plan,
            phase: AtomicUsize::new(0),
            seed: Mutex::new(None),
            guard_bytes: AtomicU64::new(0),
            guard_cpu_us: AtomicU64::new(0),
            link_bytes: AtomicU64::new(0),
        }
    }

    pub(super) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Idle,
            1 => Phase::Loaded,
            2 => Phase::Restarted,
            3 => Phase::Lost,
            _ => Phase::Over,
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
