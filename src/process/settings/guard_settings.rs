//! The settings file of a guard.

use {
    super::{
        common_values::{
            read_address, read_count, read_drain_timeout, read_list, read_name, read_plain_tasks,
        },
        limits_settings::read_limits,
    },
    crate::{
        prelude::*,
        process::limits::ProcessLimits,
        version::{Faults, IniFile},
    },
};

/// The settings of a guard.
#[derive(Clone, Debug)]
pub struct GuardSettings {
    /// The name of the upstream that it guards.
    pub name: UpstreamName,
    /// The region of the upstream.
    pub region: Region,
    /// The data centre of the upstream.
    pub data_centre: DataCentre,
    /// The rack of the upstream.
    pub rack: RackName,
    /// The address at which it accepts calls from entries and other guards.
    pub listen: SocketAddr,
    /// The address at which it serves health checks and metrics, if any.
    pub http: Option<SocketAddr>,
    /// The address at which its upstream accepts requests and tasks.
    pub worker: SocketAddr,
    /// Addresses at which entries receive announcements; one address of a load balancer is enough.
    pub entries: Vec<SocketAddr>,
    /// The maximum number of requests that the upstream runs at once.
    pub slots: u32,
    /// The maximum number of connections to the upstream.
    pub connections: u32,
    /// The number of accelerators of the worker.
    pub accelerators: u32,
    /// The maximum number of tasks without accelerators that the worker runs at once.
    pub plain_tasks: u32,
    /// The time for which a graceful shutdown waits for work in progress.
    pub drain_timeout: Duration,
    /// What clients may make the process hold.
    pub limits: ProcessLimits,
}

impl GuardSettings {
    /// Parses and validates the text of a settings file; `name` is the file name in fault messages.
    ///
    /// # Errors
    /// Returns all faults of the text.
    pub fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self, Faults> {
        let file = IniFile::parse(name, text);
        let settings = Self::read(&file);
        file.finish(&["guard", "limits"])?;
        settings.ok_or_else(Faults::default)
    }

    fn read(file: &IniFile) -> Option<Self> {
        let section = file.section("guard")?;
        let name = read_name(file, section, "name");
        let region = read_name(file, section, "region");
        let data_centre = read_name(file, section, "data_centre");
        let rack = read_name(file, section, "rack");
        let listen = read_address(file, section, "listen");
        let expected = "an IP address and port such as 10.0.0.5:7002";
        let http = file.optional(section, "http", expected, |v| v.parse().ok());
        let worker = read_address(file, section, "worker");
        let expected = "addresses such as 10.0.0.5:7001, 10.0.0.6:7001";
        let entries = read_list(file, section, "entries", expected);
        let slots = read_count(file, section, "slots", 1..=1024);
        let connections = read_count(file, section, "connections", 1..=4096);
        let accelerators = read_count(file, section, "accelerators", 0..=64);
        let plain_tasks = read_plain_tasks(file, section);
        let drain_timeout = read_drain_timeout(file, section);
        if listen.is_some() && listen == worker {
            file.report_fault(
                section,
                "worker",
                "the same address as listen; expected another one",
            );
        }
        if slots > connections && connections.is_some() {
            file.report_fault(
                section,
                "connections",
                "below the number of slots; expected at least as many",
            );
        }
        Some(Self {
            name: name?,
            region: region?,
            data_centre: data_centre?,
            rack: rack?,
            listen: listen?,
            http,
            worker: worker?,
            entries: entries?,
            slots: slots?,
            connections: connections?,
            accelerators: accelerators?,
            plain_tasks,
            drain_timeout,
            limits: read_limits(file),
        })
    }
}
