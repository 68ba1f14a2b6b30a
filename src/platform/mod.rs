//! Translates between limpetquay and the platform of the machines that it runs on.
//!
//! Names of the platform are decoded here, once, into types whose fields say what they hold.
//! Nothing outside knows them, and nothing here decides.

mod boot_settings;
mod callers;
mod config;
mod discovery;
mod entry_role;
mod guard_role;
mod job_body;
mod log_store;
mod roles;
pub mod stand_in;
mod status;
mod worker_calls;

pub use {
    boot_settings::{BootSettings, SettingsError},
    callers::Callers,
    config::{ConfigError, decode_config, follow_config},
    discovery::Discovery,
    job_body::{JobBodyError, decode_job},
    log_store::LogStore,
    roles::{PlatformRole, run_role},
    status::Status,
    worker_calls::WorkerCalls,
};
