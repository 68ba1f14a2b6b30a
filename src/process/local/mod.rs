//! A whole system in one process, over real loopback sockets.

mod demonstration;
mod example_keys;
mod local_error;
mod local_system;
mod reclaim_demonstration;
mod replacement;
mod system_state;

pub use {
    demonstration::demonstrate, example_keys::example_key, local_error::LocalError,
    local_system::LocalSystem, reclaim_demonstration::demonstrate_reclaim,
};

/// The service document that a local system has when none is named.
pub const EXAMPLE_DOCUMENT: &str = include_str!("../../../examples/triagehub/service.ini");

/// The data centres and workers that a local system has when none are named.
pub const EXAMPLE_SETTINGS: &str = include_str!("../../../examples/triagehub/local.ini");
