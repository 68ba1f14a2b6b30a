//! The size of the deployment that the system is designed for, and the limits that hold there.

/// The number of workers.
pub const WORKERS: f64 = 950.0;

/// The number of accelerators of all workers together.
pub const ACCELERATORS: f64 = 1_800.0;

/// The number of jobs that arrive in a day.
pub const JOBS_PER_DAY: f64 = 840.0;

/// The number of tasks that run at the same time.
pub const RUNNING_TASKS: f64 = 17_000.0;

/// The largest number of members of a gang.
pub const MAX_GANG_MEMBERS: f64 = 64.0;

/// The number of client accounts with quotas.
pub const ACCOUNTS: f64 = 44.0;

/// The number of data centres.
pub const DATA_CENTRES: f64 = 8.0;

/// The number of entries: three in each data centre.
pub const ENTRIES: f64 = 24.0;

/// The number of configuration changes in a day.
pub const CHANGES_PER_DAY: f64 = 820.0;

/// The longest time until a configuration change is in force everywhere, in seconds.
pub const MAX_CONFIG_PROPAGATION_S: f64 = 6.0;

/// The longest time until urgent work starts, in seconds.
pub const MAX_URGENT_START_S: f64 = 1.5;

/// The share of a core that the control plane may use on a node, in percent.
pub const MAX_CORE_PERCENT: f64 = 4.6;

/// The resident memory that the control plane may use on a node, in megabytes.
pub const MAX_MEMORY_MB: f64 = 128.0;

/// The traffic that the control plane may send and receive on a node, in kilobytes a second.
pub const MAX_TRAFFIC_KB_PER_S: f64 = 12.0;
