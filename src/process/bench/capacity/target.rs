//! The size that the system is built toward.

/// Workers.
pub const WORKERS: f64 = 950.0;

/// Accelerators of all workers.
pub const ACCELERATORS: f64 = 1_800.0;

/// Jobs a day.
pub const JOBS_PER_DAY: f64 = 840.0;

/// Tasks that run at once.
pub const RUNNING_TASKS: f64 = 17_000.0;

/// The most members of a gang.
pub const MAX_GANG_MEMBERS: f64 = 64.0;

/// Client accounts with quotas.
pub const ACCOUNTS: f64 = 44.0;

/// Data centres.
pub const DATA_CENTRES: f64 = 8.0;

/// Entries, three in each data centre.
pub const ENTRIES: f64 = 24.0;

/// Configuration changes a day.
pub const CHANGES_PER_DAY: f64 = 820.0;

/// The longest time until a change is in force everywhere, in seconds.
pub const MAX_CONFIG_PROPAGATION_S: f64 = 6.0;

/// The longest time until urgent work starts, in seconds.
pub const MAX_URGENT_START_S: f64 = 1.5;

/// The share of a core that control may take on a node, in percent.
pub const MAX_CORE_PERCENT: f64 = 4.6;

/// The memory that control may take on a node, in megabytes.
pub const MAX_MEMORY_MB: f64 = 128.0;

/// The bytes that control may send and receive on a node, in kilobytes a second.
pub const MAX_TRAFFIC_KB_PER_S: f64 = 12.0;
