//! The settings files of the stand-ins for the platform.

use {
    super::common_values::{read_address, read_count},
    crate::{
        prelude::*,
        process::stand_in::LogLimits,
        version::{Faults, IniFile, IniSection, parse_duration},
    },
};

/// The settings of the stand-in log.
#[derive(Clone, Debug)]
pub struct StandInLogSettings {
    /// The address at which it accepts calls.
    pub listen: SocketAddr,
    /// The limits of the log.
    pub limits: LogLimits,
}

/// The settings of the stand-in upstream.
#[derive(Clone, Debug)]
pub struct StandInUpstreamSettings {
    /// The address at which it accepts requests and tasks.
    pub listen: SocketAddr,
    /// The number of accelerators.
    pub accelerators: u32,
}

impl StandInLogSettings {
    /// Parses and validates the text of a settings file; `name` is the file name in fault messages.
    ///
    /// # Errors
    /// Returns all faults of the text.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self, Faults> {
        let file = IniFile::parse(name, text);
        let section = file.section("stand-in-log");
        let listen = section.and_then(|s| read_address(&file, s, "listen"));
        let limits = section.map(|s| read_limits(&file, s));
        file.finish(&["stand-in-log"])?;
        Ok(Self {
            listen: listen.ok_or_else(Faults::default)?,
            limits: limits.unwrap_or_default(),
        })
    }
}

/// Reads the limits that the section states; the others have their default values.
fn read_limits(
    file: &IniFile,
    section: &IniSection,
) -> LogLimits {
    let defaults = LogLimits::default();
    let positive = "a whole number above 0";
    let rate = file.optional(section, "max_appends_per_s", positive, |v| {
        v.parse().ok().filter(|n| *n > 0)
    });
    let records = file.optional(section, "max_records", positive, |v| {
        v.parse().ok().filter(|n| *n > 0)
    });
    let retention = file.optional(
        section,
        "retention",
        "a duration such as 24h",
        parse_duration,
    );
    LogLimits {
        max_appends_per_s: rate.unwrap_or(defaults.max_appends_per_s),
        retention: retention.unwrap_or(defaults.retention),
        max_records: records.unwrap_or(defaults.max_records),
        max_bytes: defaults.max_bytes,
    }
}

impl StandInUpstreamSettings {
    /// Parses and validates the text of a settings file; `name` is the file name in fault messages.
    ///
    /// # Errors
    /// Returns all faults of the text.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self, Faults> {
        let file = IniFile::parse(name, text);
        let section = file.section("stand-in-upstream");
        let listen = section.and_then(|s| read_address(&file, s, "listen"));
        let accelerators = section.and_then(|s| read_count(&file, s, "accelerators", 0..=64));
        file.finish(&["stand-in-upstream"])?;
        Ok(Self {
            listen: listen.ok_or_else(Faults::default)?,
            accelerators: accelerators.ok_or_else(Faults::default)?,
        })
    }
}
