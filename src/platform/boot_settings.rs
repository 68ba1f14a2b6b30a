//! Decoding and checks of the settings file that the platform writes for each process.

use {
    crate::{
        prelude::*,
        process::{
            config_view::DEFAULT_CONFIG_APPLY_TIME,
            ledger::{DEFAULT_APPEND_BYTES, DEFAULT_RECORD_BYTES, RecordLimits},
            limits::ProcessLimits,
            scheduler::{DEFAULT_RECLAIM_TIME, LeaseTerms},
        },
        version::{Fault, Faults},
    },
    derive_more::{Display, Error},
    serde::Deserialize,
    std::{env, fs, io, net::IpAddr},
};

/// The environment variable that holds the path of the settings file.
const PATH_VARIABLE: &str = "LIMPETQUAY_BOOT";

/// The offset of the metrics port from the first internal port.
const METRICS_PORT_OFFSET: u16 = 1;

/// The ratio of the retention of ended jobs to the time for which callers may query them. It is
/// above 1 so that a late repetition of a submission still finds its job.
const RETENTION_FACTOR: f64 = 2.0;

/// The bandwidth of a machine whose settings give none.
const DEFAULT_LINK_MBPS: f64 = 1000.0;

/// The memory of a machine whose settings give none, in MB: that of the smallest machines.
const DEFAULT_MEMORY_MB: f64 = 128.0;

/// The descriptors of a machine whose settings give no number: those of the smallest machines.
const DEFAULT_MAX_FDS: f64 = 4096.0;

/// The longest time that a setting may hold, in seconds: ten years.
const MAX_TIME_S: f64 = 315_360_000.0;

/// The shortest bound on evacuations, in milliseconds: a read of the operator's topic and its retry,
/// and the time that a start may take.
const MIN_EVACUATION_MS: f64 = 3000.0;

/// The highest factor by which remote work may take longer.
const MAX_REMOTE_FACTOR: f64 = 1_000_000.0;

/// The lowest size limit of a record: above a job with a payload of the greatest length.
const MIN_RECORD_BYTES: usize = 8192;

/// The highest size limit of an append, which is held in memory.
const MAX_APPEND_BYTES: usize = 1 << 30;

/// The length field of a record in an append, in bytes.
const RECORD_LENGTH_BYTES: usize = 4;

/// Why the settings cannot be loaded.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The environment variable with the file's path is not set.
    #[display("the environment variable {PATH_VARIABLE} is not set")]
    NoPath,
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The file cannot be decoded.
    #[display("{path}: {source}")]
    Malformed {
        /// The file's path.
        path: String,
        /// The decoding error, with line and column.
        source: serde_json::Error,
    },
    /// The file holds values that cannot be used.
    #[display("{_0}")]
    Invalid(#[error(not(source))] Faults),
    /// The settings lack an address that the role needs.
    #[display("the settings lack the key {key}")]
    NoAddress {
        /// The key of the address.
        key: &'static str,
    },
}

/// The settings of a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BootSettings {
    /// The name of the instance.
    pub instance: Arc<str>,
    /// The address at which an entry serves callers.
    pub callers: Option<SocketAddr>,
    /// The address at which an entry answers the load balancer's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// The address at which a guard receives its worker's heartbeats.
    pub discovery: Option<SocketAddr>,
    /// The data centre of the instance; `None` if the settings do not name it.
    pub data_centre: Option<DataCentre>,
    /// The time within which a confirmed version of the configuration is in force.
    pub config_apply_time: Duration,
    /// The time after the confirmation of an evacuation from which nothing may start in the data
    /// centre; `None` if the settings give no bound.
    pub evacuation_bound: Option<Duration>,
    /// The address at which other processes of the system connect.
    pub peers: SocketAddr,
    /// The address at which health and metrics are served.
    pub metrics: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// The sizes of records and appends that the store accepts.
    pub record_limits: RecordLimits,
    /// The durations of the leases.
    pub leases: LeaseTerms,
    /// The factor by which work takes longer on a worker that is remote from its data.
    pub far_factor: u64,
    /// The time within which work within its account's guarantee starts.
    pub reclaim_time: Duration,
    /// The time that a process has to stop.
    pub grace: Duration,
    /// The interval of a worker's heartbeats.
    pub heartbeat: Duration,
    /// How long ended jobs are kept.
    pub retention: Duration,
    /// The instance's processor share, in thousandths of a core.
    pub cpu_milli: u64,
    /// The bandwidth of the instance's link, in kilobits per second.
    pub link_kbps: u64,
    /// What clients may make the process hold.
    pub limits: ProcessLimits,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSettings {
    node_name: Arc<str>,
    ip: IpAddr,
    /// The data centre.
    #[serde(default)]
    zone: Option<Arc<str>>,
    #[serde(default)]
    listen_addrs: WireAddresses,
    internal_port_range: [u16; 2],
    bounds: WireBounds,
    heartbeat_ms: u64,
    #[serde(rename = "platform")]
    platform: WirePlatform,
    #[serde(default)]
    limits: WireMachineLimits,
}

#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct WireAddresses {
    frontend: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    control_plane: Option<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBounds {
    max_hold_ms: f64,
    remote_factor: f64,
    grace_period_s: f64,
    /// How long callers may query a job's state after its end, in seconds.
    #[serde(rename = "status_s")]
    status_s: f64,
    /// The time within which a confirmed version of the configuration is in force, in milliseconds;
    /// missing where the platform states none.
    #[serde(default)]
    config_apply_ms: Option<f64>,
    /// The time after the confirmation of an evacuation from which nothing may start in the data
    /// centre, in milliseconds; missing where no data centre is evacuated.
    #[serde(default)]
    evacuate_ms: Option<f64>,
    /// The time after a job's confirmation within which it starts if it is within its account's
    /// guarantee, in milliseconds; missing where the platform states none.
    #[serde(default)]
    reclaim_ms: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePlatform {
    address: SocketAddr,
    /// The size limit of a record at the store.
    #[serde(default = "default_record_bytes")]
    record_bytes: usize,
    /// The size limit of an append at the store.
    #[serde(default = "default_append_bytes")]
    request_bytes: usize,
}

fn default_record_bytes() -> usize {
    DEFAULT_RECORD_BYTES
}

fn default_append_bytes() -> usize {
    DEFAULT_APPEND_BYTES
}

/// What the machine has. `cpu_share` is its share of a core, and `cpu_cores` how many times as fast
/// as one core it is. A value that is missing or not positive counts as that of a whole machine; memory
/// and descriptors then count as those of the smallest machines.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct WireMachineLimits {
    cpu_share: Option<f64>,
    cpu_cores: Option<f64>,
    link_speed_mbps: Option<f64>,
    memory_mb: Option<f64>,
    max_fds: Option<f64>,
}

impl WireMachineLimits {
    fn cpu_milli(&self) -> u64 {
        let cores = positive_or(self.cpu_share, 1.0) * positive_or(self.cpu_cores, 1.0);
        (cores * 1000.0) as u64
    }

    fn link_kbps(&self) -> u64 {
        (positive_or(self.link_speed_mbps, DEFAULT_LINK_MBPS) * 1000.0) as u64
    }

    fn process_limits(&self) -> ProcessLimits {
        let memory_mb = positive_or(self.memory_mb, DEFAULT_MEMORY_MB);
        let max_fds = positive_or(self.max_fds, DEFAULT_MAX_FDS);
        ProcessLimits::for_machine(memory_mb as usize, max_fds as usize)
    }
}

fn positive_or(
    value: Option<f64>,
    default: f64,
) -> f64 {
    value.filter(|v| *v > 0.0).unwrap_or(default)
}

impl WireSettings {
    /// Returns the keys with invalid values, each with a message that says which value is expected.
    fn faults(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        let mut check = |is_valid: bool, key: &'static str, message: &str| {
            if !is_valid {
                faults.push((key, message.to_owned()));
            }
        };
        check(!self.node_name.is_empty(), "NodeName", "a name is expected");
        let [first, last] = self.internal_port_range;
        check(
            first > 0 && last > first,
            "InternalPortRange",
            "two ports in rising order are expected",
        );
        let addresses = &self.listen_addrs;
        let is_entry = addresses.frontend.is_some() && addresses.ready.is_some();
        check(
            is_entry || addresses.control_plane.is_some(),
            "ListenAddrs",
            "Frontend and Ready are expected for an entry, ControlPlane for a guard",
        );
        check(
            (1.0..=MAX_TIME_S * 1000.0).contains(&self.bounds.max_hold_ms),
            "MaxHoldMs",
            "a lease of at least 1 ms and at most ten years is expected",
        );
        check(
            (1.0..=MAX_REMOTE_FACTOR).contains(&self.bounds.remote_factor),
            "RemoteFactor",
            "a factor from 1 to 1000000 is expected",
        );
        check(
            self.bounds.grace_period_s > 0.0 && self.bounds.grace_period_s <= MAX_TIME_S,
            "GracePeriodS",
            "a time above 0 s and at most ten years is expected",
        );
        check(
            (0.0..=MAX_TIME_S).contains(&self.bounds.status_s),
            "status_s",
            "a time from 0 s to ten years is expected",
        );
        check(
            self.bounds
                .config_apply_ms
                .is_none_or(|ms| ms > 0.0 && ms <= MAX_TIME_S * 1000.0),
            "ConfigApplyMs",
            "a time above 0 ms and at most ten years is expected",
        );
        let evacuate_ms = self.bounds.evacuate_ms.unwrap_or(MIN_EVACUATION_MS);
        check(
            (MIN_EVACUATION_MS..=MAX_TIME_S * 1000.0).contains(&evacuate_ms),
            "EvacuateMs",
            "a time of at least 3000 ms and at most ten years is expected",
        );
        check(
            self.bounds
                .reclaim_ms
                .is_none_or(|ms| ms > 0.0 && ms <= MAX_TIME_S * 1000.0),
            "ReclaimMs",
            "a time above 0 ms and at most ten years is expected",
        );
        check(
            (1..=MAX_TIME_S as u64 * 1000).contains(&self.heartbeat_ms),
            "HeartbeatMs",
            "an interval of at least 1 ms and at most ten years is expected",
        );
        check(
            self.platform.address.port() > 0,
            "Address",
            "an address with a port is expected",
        );
        let (record, append) = (self.platform.record_bytes, self.platform.request_bytes);
        check(
            (MIN_RECORD_BYTES..=MAX_APPEND_BYTES).contains(&record),
            "RecordBytes",
            "a size of at least 8192 bytes and at most 1 GiB is expected",
        );
        check(
            (record.saturating_add(RECORD_LENGTH_BYTES)..=MAX_APPEND_BYTES).contains(&append),
            "RequestBytes",
            "a size of at least RecordBytes and 4 bytes and at most 1 GiB is expected",
        );
        faults
    }
}

fn fault(
    path: &str,
    line: usize,
    key: &str,
    message: String,
) -> Fault {
    Fault {
        file: path.to_owned(),
        line,
        section: "settings".to_owned(),
        key: key.to_owned(),
        message,
    }
}

/// Returns the values that cannot be used, by the line of their key.
fn value_faults(
    path: &str,
    text: &str,
    wire: &WireSettings,
) -> Vec<Fault> {
    let faults = wire.faults().into_iter().map(|(key, message)| {
        let quoted = format!("\"{key}\"");
        let line = text.lines().position(|l| l.contains(&quoted));
        fault(path, line.map_or(1, |l| l + 1), key, message)
    });
    let mut faults: Vec<Fault> = faults.collect();
    faults.sort_by_key(|f| f.line);
    faults
}

impl BootSettings {
    /// Reads the settings from the file that the environment variable `LIMPETQUAY_BOOT` names.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the variable is not set, or if the file cannot be read or
    /// decoded or holds values that cannot be used.
    pub fn read() -> Result<Self, SettingsError> {
        let path = env::var(PATH_VARIABLE).map_err(|_| SettingsError::NoPath)?;
        let text = fs::read_to_string(&path);
        let text = text.map_err(|source| SettingsError::Unreadable {
            path: path.clone(),
            source,
        })?;
        Self::parse(&path, &text)
    }

    /// Decodes the settings in `text`; `path` is used in the error.
    ///
    /// # Errors
    /// Returns [`SettingsError::Malformed`] with the line and the column if `text` cannot be
    /// decoded, and [`SettingsError::Invalid`] with all values that cannot be used.
    pub fn parse(
        path: &str,
        text: &str,
    ) -> Result<Self, SettingsError> {
        let wire: WireSettings =
            serde_json::from_str(text).map_err(|source| SettingsError::Malformed {
                path: path.to_owned(),
                source,
            })?;
        let faults = value_faults(path, text, &wire);
        if !faults.is_empty() {
            return Err(SettingsError::Invalid(Faults { faults }));
        }
        let first_port = wire.internal_port_range[0];
        Ok(Self {
            instance: wire.node_name,
            callers: wire.listen_addrs.frontend,
            readiness: wire.listen_addrs.ready,
            discovery: wire.listen_addrs.control_plane,
            data_centre: wire
                .zone
                .filter(|name| !name.is_empty())
                .map(|name| DataCentre::from(&*name)),
            config_apply_time: wire
                .bounds
                .config_apply_ms
                .map_or(DEFAULT_CONFIG_APPLY_TIME, |ms| {
                    Duration::from_millis(ms as u64)
                }),
            evacuation_bound: wire
                .bounds
                .evacuate_ms
                .map(|ms| Duration::from_millis(ms as u64)),
            peers: SocketAddr::new(wire.ip, first_port),
            metrics: SocketAddr::new(wire.ip, first_port + METRICS_PORT_OFFSET),
            store: wire.platform.address,
            record_limits: RecordLimits::new(
                wire.platform.record_bytes,
                wire.platform.request_bytes,
            ),
            leases: LeaseTerms::new(Millis(wire.bounds.max_hold_ms as u64)),
            far_factor: wire.bounds.remote_factor.ceil() as u64,
            reclaim_time: wire
                .bounds
                .reclaim_ms
                .map_or(DEFAULT_RECLAIM_TIME, |ms| Duration::from_millis(ms as u64)),
            grace: Duration::from_secs_f64(wire.bounds.grace_period_s),
            heartbeat: Duration::from_millis(wire.heartbeat_ms),
            retention: Duration::from_secs_f64(wire.bounds.status_s * RETENTION_FACTOR),
            cpu_milli: wire.limits.cpu_milli(),
            link_kbps: wire.limits.link_kbps(),
            limits: wire.limits.process_limits(),
        })
    }

    /// Checks a settings file of either role.
    ///
    /// # Errors
    /// Returns all faults, each with the line of its key.
    pub fn check(
        path: &str,
        text: &str,
    ) -> Result<(), Faults> {
        let faults = match serde_json::from_str(text) {
            Ok(wire) => value_faults(path, text, &wire),
            Err(e) => vec![fault(path, e.line(), "-", e.to_string())],
        };
        if faults.is_empty() {
            return Ok(());
        }
        Err(Faults { faults })
    }

    /// Returns `address` if it is set; `key` is its key in the settings.
    ///
    /// # Errors
    /// Returns [`SettingsError::NoAddress`] if the address is missing.
    pub fn required_address(
        address: Option<SocketAddr>,
        key: &'static str,
    ) -> Result<SocketAddr, SettingsError> {
        address.ok_or(SettingsError::NoAddress { key })
    }
}
