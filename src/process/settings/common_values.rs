//! Readers for values that occur in several settings files.

use {
    crate::{
        prelude::*,
        version::{IniFile, IniSection, parse_duration},
    },
    std::str::FromStr,
};

/// The drain timeout when the settings do not state it.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of tasks without accelerators when the settings do not state it.
const DEFAULT_PLAIN_TASKS: u32 = 32;

/// Reads an IP address and port.
pub(super) fn read_address(
    file: &IniFile,
    section: &IniSection,
    key: &str,
) -> Option<SocketAddr> {
    file.required_from_str(section, key, "an IP address and port such as 10.0.0.5:7000")
}

/// Reads a name: letters, digits, `-`, `_` and `.`, 64 characters at most.
pub(super) fn read_name<N>(
    file: &IniFile,
    section: &IniSection,
    key: &str,
) -> Option<N>
where
    N: for<'a> From<&'a str>,
{
    let expected = "a name of letters, digits, -, _ and ., 64 characters at most";
    file.required(section, key, expected, |v| is_name(v).then(|| N::from(v)))
}

/// Reads a required comma-separated list of values.
pub(super) fn read_list<T>(
    file: &IniFile,
    section: &IniSection,
    key: &str,
    expected: &str,
) -> Option<Vec<T>>
where
    T: FromStr,
{
    file.required(section, key, expected, |v| {
        v.split(',').map(|item| item.trim().parse().ok()).collect()
    })
}

/// Reads an optional comma-separated list of values; empty when the key is absent.
pub(super) fn read_optional_list<T>(
    file: &IniFile,
    section: &IniSection,
    key: &str,
    expected: &str,
) -> Vec<T>
where
    T: FromStr,
{
    let values = file.optional(section, key, expected, |v| {
        v.split(',').map(|item| item.trim().parse().ok()).collect()
    });
    values.unwrap_or_default()
}

/// Reads a whole number within inclusive limits.
pub(super) fn read_count(
    file: &IniFile,
    section: &IniSection,
    key: &str,
    limits: std::ops::RangeInclusive<u32>,
) -> Option<u32> {
    let expected = format!("a whole number from {} to {}", limits.start(), limits.end());
    file.required(section, key, &expected, |v| {
        v.parse().ok().filter(|n| limits.contains(n))
    })
}

/// Reads the maximum number of tasks without accelerators that a worker runs at once.
pub(super) fn read_plain_tasks(
    file: &IniFile,
    section: &IniSection,
) -> u32 {
    let expected = "a whole number from 0 to 1024";
    let tasks = file.optional(section, "plain_tasks", expected, |v| {
        v.parse().ok().filter(|n| *n <= 1024)
    });
    tasks.unwrap_or(DEFAULT_PLAIN_TASKS)
}

/// Reads the time for which a graceful shutdown waits for work in progress.
pub(super) fn read_drain_timeout(
    file: &IniFile,
    section: &IniSection,
) -> Duration {
    let expected = "a duration such as 30s";
    let timeout = file.optional(section, "drain_timeout", expected, parse_duration);
    timeout.unwrap_or(DEFAULT_DRAIN_TIMEOUT)
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= 64 && text.chars().all(allowed)
}
