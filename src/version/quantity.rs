//! Parsers of values in settings files and service documents.

use std::time::Duration;

/// Parses a duration such as `250ms`, `30s`, `5m`, `2h` or `1d`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    number.checked_mul(millis).map(Duration::from_millis)
}

/// Parses a size such as `512B`, `64KiB`, `1MiB` or `2GiB`, in bytes.
pub fn parse_bytes(text: &str) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    number.checked_mul(factor)
}

/// Parses `yes` or `no`.
pub fn parse_bool(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

/// Splits a whole number from its unit.
fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let number = text[..end].parse().ok()?;
    Some((number, text[end..].trim()))
}
