//! Settings of the stand-ins for the platform.

use {
    super::place::{read_address, read_count},
    crate::{
        prelude::*,
        version::{Faults, IniFile},
    },
};

/// Settings of the stand-in log.
#[derive(Clone, Debug)]
pub struct StandInLogSettings {
    /// Where it takes calls.
    pub listen: SocketAddr,
}

/// Settings of the stand-in upstream.
#[derive(Clone, Debug)]
pub struct StandInUpstreamSettings {
    /// Where it takes requests and tasks.
    pub listen: SocketAddr,
    /// The number of its accelerators.
    pub accelerators: u32,
}

impl StandInLogSettings {
    /// Parses and checks a settings file; `name` is the file's name in fault messages.
    ///
    /// # Errors
    /// Every fault of the text.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self, Faults> {
        let file = IniFile::parse(name, text);
        let section = file.section("stand-in-log");
        let listen = section.and_then(|s| read_address(&file, s, "listen"));
        file.finish(&["stand-in-log"])?;
        let listen = listen.ok_or_else(Faults::default)?;
        Ok(Self { listen })
    }
}

impl StandInUpstreamSettings {
    /// Parses and checks a settings file; `name` is the file's name in fault messages.
    ///
    /// # Errors
    /// Every fault of the text.
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
