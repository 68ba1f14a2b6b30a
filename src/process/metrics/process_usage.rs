//! Reads the processor time and the memory of this process from `/proc`.

use std::{fs, time::Duration};

/// The unit of processor time in `/proc/PID/stat` (one clock tick), in milliseconds.
const TICK_MS: u64 = 10;

/// The processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// The processor time since the start of the process.
    pub cpu_time: Duration,
    /// The resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Returns the usage of this process; a value that cannot be read is zero.
    pub fn current() -> Self {
        Self::of("self")
    }

    fn of(process: &str) -> Self {
        Self {
            cpu_time: read_cpu(process).unwrap_or_default(),
            resident_bytes: read_resident(process).unwrap_or_default(),
        }
    }

    /// Returns the processor time of the calling thread, or zero when it cannot be read.
    pub fn thread_cpu_time() -> Duration {
        let schedstat = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
        let nanos = schedstat
            .split_whitespace()
            .next()
            .and_then(|n| n.parse().ok());
        Duration::from_nanos(nanos.unwrap_or_default())
    }
}

/// Reads the user and system time from `/proc/PROCESS/stat`.
fn read_cpu(process: &str) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields = stat.rsplit(") ").next()?;
    let mut fields = fields.split(' ').skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * TICK_MS))
}

/// Reads the resident memory from `/proc/PROCESS/status`.
fn read_resident(process: &str) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1024)
}
