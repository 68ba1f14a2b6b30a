//! The settings file that the platform writes for each process.

use {
    crate::{prelude::*, process::scheduler::LeaseTerms},
    derive_more::{Display, Error},
    serde::Deserialize,
    std::{env, fs, io, net::IpAddr},
};

/// The environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "LIMPETQUAY_BOOT";

/// How many ports behind the first internal one the metrics are served.
const METRICS_PORT_OFFSET: u16 = 1;

/// By how much longer ended jobs are kept than callers may ask for them, so that a submission that
/// arrives again late still finds its job.
const RETENTION_FACTOR: f64 = 2.0;

/// Why the settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The variable with the file's path is not set.
    #[display("the environment variable {PATH_VARIABLE} is not set")]
    NoPath,
    /// The file cannot be read.
    #[display("{path}: {source}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// The error of reading.
        source: io::Error,
    },
    /// The file is not what it should be.
    #[display("{path}: {source}")]
    Malformed {
        /// The file's path.
        path: String,
        /// The error of decoding, with line and column.
        source: serde_json::Error,
    },
    /// An address that the role needs is missing.
    #[display("the settings lack the key {key}")]
    NoAddress {
        /// The key.
        key: &'static str,
    },
}

/// What a process learns at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BootSettings {
    /// The name of its instance.
    pub instance: Arc<str>,
    /// Where callers connect, in an entry.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether the entry is ready.
    pub readiness: Option<SocketAddr>,
    /// Where the worker reports, in a guard.
    pub discovery: Option<SocketAddr>,
    /// Where peers of the system connect.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The leases.
    pub leases: LeaseTerms,
    /// How many times as long work takes far from its data.
    pub far_factor: u64,
    /// How long a stopping process has.
    pub grace: Duration,
    /// How often a worker sends a heartbeat.
    pub heartbeat: Duration,
    /// How long the end of a job is kept for its caller.
    pub retention: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireSettings {
    node_name: Arc<str>,
    ip: IpAddr,
    #[serde(default)]
    listen_addrs: WireAddresses,
    internal_port_range: [u16; 2],
    bounds: WireBounds,
    heartbeat_ms: u64,
    #[serde(rename = "platform")]
    platform: WirePlatform,
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
    /// How long callers may ask for a job's state after its end, in seconds.
    #[serde(rename = "status_s")]
    status_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WirePlatform {
    address: SocketAddr,
}

impl BootSettings {
    /// Reads the settings from the file that the environment names.
    ///
    /// # Errors
    /// [`SettingsError`], which names the file and the place in it.
    pub fn read() -> Result<Self, SettingsError> {
        let path = env::var(PATH_VARIABLE).map_err(|_| SettingsError::NoPath)?;
        let text = fs::read_to_string(&path);
        let text = text.map_err(|source| SettingsError::Unreadable {
            path: path.clone(),
            source,
        })?;
        Self::parse(&path, &text)
    }

    /// Decodes the settings.
    ///
    /// # Errors
    /// [`SettingsError`], which names the file and the place in it.
    pub fn parse(
        path: &str,
        text: &str,
    ) -> Result<Self, SettingsError> {
        let wire: WireSettings =
            serde_json::from_str(text).map_err(|source| SettingsError::Malformed {
                path: path.to_owned(),
                source,
            })?;
        let first_port = wire.internal_port_range[0];
        Ok(Self {
            instance: wire.node_name,
            callers: wire.listen_addrs.frontend,
            readiness: wire.listen_addrs.ready,
            discovery: wire.listen_addrs.control_plane,
            peers: SocketAddr::new(wire.ip, first_port),
            metrics: SocketAddr::new(wire.ip, first_port + METRICS_PORT_OFFSET),
            store: wire.platform.address,
            leases: LeaseTerms::new(Millis(wire.bounds.max_hold_ms as u64)),
            far_factor: wire.bounds.remote_factor.ceil() as u64,
            grace: Duration::from_secs_f64(wire.bounds.grace_period_s),
            heartbeat: Duration::from_millis(wire.heartbeat_ms),
            retention: Duration::from_secs_f64(wire.bounds.status_s * RETENTION_FACTOR),
        })
    }

    /// Returns an address that a role needs.
    ///
    /// # Errors
    /// [`SettingsError::NoAddress`] when it is missing.
    pub fn required(
        address: Option<SocketAddr>,
        key: &'static str,
    ) -> Result<SocketAddr, SettingsError> {
        address.ok_or(SettingsError::NoAddress { key })
    }
}
