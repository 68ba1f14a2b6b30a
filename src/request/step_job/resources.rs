//! What a subtask needs and what a worker has.

use {
    derive_more::{Add, AddAssign},
    serde::{Deserialize, Serialize},
};

/// How many cores' worth of accelerator time one accelerator counts for when work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;

/// An amount of processor, memory and accelerators.
#[derive(Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Tells whether this amount fits into `room`.
    pub fn fits_in(
        &self,
        room: &Self,
    ) -> bool {
        self.cpu_milli <= room.cpu_milli
            && self.memory_mb <= room.memory_mb
            && self.accelerators <= room.accelerators
    }

    /// Returns what is left of this amount after `taken`, zero where more is taken than there is.
    pub fn saturating_sub(
        &self,
        taken: &Self,
    ) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(taken.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(taken.memory_mb),
            accelerators: self.accelerators.saturating_sub(taken.accelerators),
        }
    }

    /// Returns this amount `count` times.
    pub fn times(
        &self,
        count: u64,
    ) -> Self {
        Self {
            cpu_milli: self.cpu_milli * count,
            memory_mb: self.memory_mb * count,
            accelerators: self.accelerators * count,
        }
    }

    /// Returns how often this amount fits into `room`; `u64::MAX` when it is nothing.
    pub fn copies_in(
        &self,
        room: &Self,
    ) -> u64 {
        let pairs = [
            (room.cpu_milli, self.cpu_milli),
            (room.memory_mb, self.memory_mb),
            (room.accelerators, self.accelerators),
        ];
        let counts = pairs.into_iter().filter(|(_, own)| *own > 0);
        counts
            .map(|(room, own)| room / own)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Returns the amount as thousandths of a core, an accelerator counted as eight cores.
    pub fn cpu_equivalent_milli(&self) -> u64 {
        self.cpu_milli + self.accelerators * CORES_PER_ACCELERATOR * 1000
    }
}
