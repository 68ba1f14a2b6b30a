//! The settings section that limits what clients can make the process hold.

use crate::{
    process::limits::{PortLimits, ProcessLimits},
    version::{IniFile, IniSection},
};

/// Reads the optional `[limits]` section and reports its faults to `file`. Keys that are missing have
/// the values that follow from the machine's memory and descriptors.
pub(super) fn read_limits(file: &IniFile) -> ProcessLimits {
    let Some(section) = file.sections("limits").next() else {
        return ProcessLimits::default();
    };
    let read = |key, limits| read_number(file, section, key, limits);
    let memory_mb = read("memory_mb", 32..=1 << 20).unwrap_or(ProcessLimits::DEFAULT_MEMORY_MB);
    let max_fds = read("max_fds", 256..=1 << 20).unwrap_or(ProcessLimits::DEFAULT_MAX_FDS);
    let mut limits = ProcessLimits::for_machine(memory_mb, max_fds);
    let defaults = limits.callers;
    limits.callers = PortLimits {
        body_bytes: read("body_bytes", 1..=1 << 40).unwrap_or(defaults.body_bytes),
        bodies: read("bodies", 1..=1 << 20).unwrap_or(defaults.bodies),
        connections: read("connections", 1..=1 << 20).unwrap_or(defaults.connections),
        min_body_rate: read("min_body_rate", 0..=1 << 30)
            .map_or(defaults.min_body_rate, |rate| rate as u64),
    };
    if limits.callers.connections > max_fds {
        file.report_fault(
            section,
            "connections",
            "above max_fds; expected at most as many",
        );
    }
    limits
}

fn read_number(
    file: &IniFile,
    section: &IniSection,
    key: &str,
    limits: std::ops::RangeInclusive<usize>,
) -> Option<usize> {
    let expected = format!("a whole number from {} to {}", limits.start(), limits.end());
    file.optional(section, key, &expected, |v| {
        v.parse().ok().filter(|n| limits.contains(n))
    })
}
