//! The settings file of an entry.

use {
    super::{
        PeerSettings,
        common_values::{read_address, read_drain_timeout, read_name, read_optional_list},
        limits_settings::read_limits,
    },
    crate::{
        prelude::*,
        process::limits::ProcessLimits,
        version::{Faults, IniFile, IniSection, KeyHash, parse_duration},
    },
};

/// The log retention when the settings do not state it.
const DEFAULT_LOG_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The operator who may submit the first document, before a document defines operators.
#[derive(Clone, Debug)]
pub struct Bootstrap {
    /// The operator's name.
    pub operator: OperatorName,
    /// The hash of the operator's key.
    pub key: KeyHash,
}

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The entry's name, unique among entries.
    pub name: EntryName,
    /// The region of the entry.
    pub region: Region,
    /// The data centre of the entry.
    pub data_centre: DataCentre,
    /// The address at which it accepts HTTP connections.
    pub http: SocketAddr,
    /// The address at which it receives announcements.
    pub announcements: SocketAddr,
    /// Addresses at which other entries receive announcements. One address of a load balancer is
    /// enough; none is needed while the log is available, because entries register there.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's log.
    pub log: SocketAddr,
    /// The time for which a graceful shutdown waits for work in progress.
    pub drain_timeout: Duration,
    /// The operator who may submit the first document.
    pub bootstrap: Option<Bootstrap>,
    /// The other entries, from which this one can read state.
    pub peers: Option<PeerSettings>,
    /// The time for which the platform's log keeps a record.
    pub log_retention: Duration,
    /// What clients may make the process hold.
    pub limits: ProcessLimits,
}

impl EntrySettings {
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
        file.finish(&["entry", "bootstrap", "peers", "limits"])?;
        settings.ok_or_else(Faults::default)
    }

    fn read(file: &IniFile) -> Option<Self> {
        let section = file.section("entry")?;
        let name = read_name(file, section, "name");
        let region = read_name(file, section, "region");
        let data_centre = read_name(file, section, "data_centre");
        let http = read_address(file, section, "http");
        let announcements = read_address(file, section, "announcements");
        let log = read_address(file, section, "log");
        let expected = "addresses such as 10.0.0.5:7001, 10.0.0.6:7001";
        let seeds = read_optional_list(file, section, "seeds", expected);
        let drain_timeout = read_drain_timeout(file, section);
        let bootstrap = Bootstrap::read(file);
        let peers = PeerSettings::read(file);
        let log_retention = read_log_retention(file, section);
        if http.is_some() && http == announcements {
            file.report_fault(
                section,
                "announcements",
                "the same address as http; expected another one",
            );
        }
        Some(Self {
            name: name?,
            region: region?,
            data_centre: data_centre?,
            http: http?,
            announcements: announcements?,
            seeds,
            log: log?,
            drain_timeout,
            bootstrap,
            peers,
            log_retention,
            limits: read_limits(file),
        })
    }
}

fn read_log_retention(
    file: &IniFile,
    section: &IniSection,
) -> Duration {
    let expected = "a duration such as 24h";
    let retention = file.optional(section, "log_retention", expected, parse_duration);
    retention.unwrap_or(DEFAULT_LOG_RETENTION)
}

impl Bootstrap {
    fn read(file: &IniFile) -> Option<Self> {
        let section = file.sections("bootstrap").next()?;
        let operator = read_name(file, section, "operator");
        let key =
            file.required_from_str(section, "key", "the BLAKE3 hash of the key in hexadecimal");
        Some(Self {
            operator: operator?,
            key: key?,
        })
    }
}
