//! Connects limpetquay to the deployment platform: its settings and configuration, its store, its
//! workers and its callers.
//!
//! The names that the platform uses on the wire are decoded here, once, into the project's own
//! types. No other module uses the wire names, and this module makes no scheduling decisions.

mod boot_settings;
mod caller_api;
mod config;
mod discovery_api;
mod http_run_worker;
mod job_body;
mod log_store;
mod platform_entry;
mod platform_guard;
mod roles;
pub mod stand_in;
mod status_api;

pub use {
    boot_settings::{BootSettings, SettingsError},
    caller_api::{CallerApi, retry_after_seconds},
    config::{ConfigError, decode_config, follow_config},
    discovery_api::DiscoveryApi,
    http_run_worker::HttpRunWorker,
    job_body::{JobBodyError, decode_job},
    log_store::LogStore,
    roles::{PlatformRole, run_role},
    status_api::StatusApi,
};
