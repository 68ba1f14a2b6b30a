//! A complete system in one process, connected by loopback sockets.

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

/// The service document of a local system when the command names none.
pub const EXAMPLE_DOCUMENT: &str = include_str!("../../../examples/triagehub/service.ini");

/// The settings of a local system, its data centres and workers, when the command names none.
pub const EXAMPLE_SETTINGS: &str = include_str!("../../../examples/triagehub/local.ini");
