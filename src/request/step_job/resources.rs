//! Resource demands of subtasks and capacities of workers.

use {
    derive_more::{Add, AddAssign},
    serde::{Deserialize, Serialize},
};

/// Number of cores that one accelerator counts as when amounts of work are compared.
const CORES_PER_ACCELERATOR: u64 = 8;

/// An amount of processor time, memory and accelerators.
#[derive(Add, AddAssign, Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether this amount fits into `capacity`.
    pub fn fits_in(
        &self,
        capacity: &Self,
    ) -> bool {
        self.cpu_milli <= capacity.cpu_milli
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Subtracts `used` from each resource of this amount, down to zero.
    pub fn saturating_sub(
        &self,
        used: &Self,
    ) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// Multiplies each resource of this amount by `count`.
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

    /// Returns how often this amount fits into `capacity`; `u64::MAX` if the amount is zero.
    pub fn copies_in(
        &self,
        capacity: &Self,
    ) -> u64 {
        let pairs = [
            (capacity.cpu_milli, self.cpu_milli),
            (capacity.memory_mb, self.memory_mb),
            (capacity.accelerators, self.accelerators),
        ];
        let counts = pairs.into_iter().filter(|(_, own)| *own > 0);
        counts
            .map(|(capacity, own)| capacity / own)
            .min()
            .unwrap_or(u64::MAX)
    }

    /// Returns the amount in thousandths of a core, with an accelerator counted as eight cores;
    /// memory does not count.
    pub fn cpu_equivalent_milli(&self) -> u64 {
        self.cpu_milli + self.accelerators * CORES_PER_ACCELERATOR * 1000
    }
}
