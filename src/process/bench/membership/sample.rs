//! What a role costs over a while.

use {
    super::counting_link::Traffic,
    crate::{prelude::*, process::metrics::ProcessUsage},
};

/// What a role costs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The share of a core, in percent.
    pub core_percent: f64,
    /// The bytes sent and received with UDP and IP headers, in kilobytes a second.
    pub kilobytes: f64,
    /// The datagrams sent and received, each second.
    pub datagrams: f64,
}

/// The counts of a thread at a time.
pub(super) struct Sample {
    at: Millis,
    cpu: Duration,
    bytes: u64,
    datagrams: u64,
}

impl Sample {
    /// Takes the counts of this thread now.
    pub(super) fn take(
        clock: &dyn Clock,
        traffic: &Traffic,
    ) -> Self {
        Self {
            at: clock.now(),
            cpu: ProcessUsage::thread_cpu_time(),
            bytes: traffic.bytes.get(),
            datagrams: traffic.datagrams.get(),
        }
    }

    /// Returns the cost from this sample to a later one.
    pub(super) fn cost_until(
        &self,
        later: &Self,
    ) -> Cost {
        let seconds = later.at.since(self.at).as_secs_f64();
        let cpu = later.cpu.saturating_sub(self.cpu).as_secs_f64();
        Cost {
            core_percent: 100.0 * cpu / seconds,
            kilobytes: (later.bytes - self.bytes) as f64 / 1000.0 / seconds,
            datagrams: (later.datagrams - self.datagrams) as f64 / seconds,
        }
    }
}
