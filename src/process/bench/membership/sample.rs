//! Measures the cost of a thread over an interval.

use {
    super::counting_link::TrafficCounter,
    crate::{prelude::*, process::metrics::ProcessUsage},
};

/// The processor time and traffic of an entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The processor time, in percent of a core.
    pub core_percent: f64,
    /// The traffic sent and received with UDP and IP headers, in kilobytes a second.
    pub kb_per_s: f64,
    /// The datagrams sent and received a second.
    pub datagrams_per_s: f64,
}

/// The processor time of a thread and the counted traffic at one time.
pub(super) struct Sample {
    at: Millis,
    cpu: Duration,
    bytes: u64,
    datagrams: u64,
}

impl Sample {
    /// Samples the calling thread and the traffic now.
    pub(super) fn take(
        clock: &dyn Clock,
        traffic: &TrafficCounter,
    ) -> Self {
        Self {
            at: clock.now(),
            cpu: ProcessUsage::thread_cpu_time(),
            bytes: traffic.bytes.get(),
            datagrams: traffic.datagrams.get(),
        }
    }

    /// Returns the cost between this sample and a later one.
    pub(super) fn cost_until(
        &self,
        later: &Self,
    ) -> Cost {
        let seconds = later.at.since(self.at).as_secs_f64();
        let cpu = later.cpu.saturating_sub(self.cpu).as_secs_f64();
        Cost {
            core_percent: 100.0 * cpu / seconds,
            kb_per_s: (later.bytes - self.bytes) as f64 / 1000.0 / seconds,
            datagrams_per_s: (later.datagrams - self.datagrams) as f64 / seconds,
        }
    }
}
