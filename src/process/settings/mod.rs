//! Settings of processes, which are read from INI files and validated before anything starts.

mod common_values;
mod entry_settings;
mod guard_settings;
mod limits_settings;
mod local_settings;
mod peer_settings;
mod stand_in_settings;

pub use {
    entry_settings::{Bootstrap, EntrySettings},
    guard_settings::GuardSettings,
    local_settings::{LocalDataCentre, LocalSettings, LocalWorkers},
    peer_settings::PeerSettings,
    stand_in_settings::{StandInLogSettings, StandInUpstreamSettings},
};
