//! Intervals, timeouts and limits of gangs at the guards.

use std::time::Duration;

/// The interval between two heartbeats of a piece to its gang's leader.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// How long a piece runs without a renewal of its lease by the gang's leader.
pub const PIECE_LEASE: Duration = Duration::from_secs(6);

/// How long a task runs without a renewal of its lease by its guard.
pub const TASK_LEASE: Duration = Duration::from_secs(4);

/// How long a task can run after the last call of its guard: a renewal in progress waits up to
/// [`HEARTBEAT_INTERVAL`], and extends the lease by [`TASK_LEASE`] once more when its wait ends.
pub const QUARANTINE: Duration = Duration::from_millis(6500);

/// The timeout of a checkpoint of all tasks of a piece. The checkpoint and the stop of an evicted
/// piece fit into [`RECLAIM_BOUND`].
pub const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(600);

/// The timeout of a call to stop or throttle a task, and the time that a renewal may take beyond
/// its wait.
pub const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time that a reservation waits until evicted work has released the accelerators.
pub const RECLAIM_BOUND: Duration = Duration::from_millis(1000);

/// The timeout of one heartbeat, of the wait for the first heartbeat after a start, and of the
/// start of one task at the worker.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after the commit the leader tries to start a piece.
pub const START_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time that tasks of a piece run after the gang's leader last renewed its lease.
pub const PIECE_STOP_BOUND: Duration = Duration::from_secs(11);

/// The longest time that a gang runs with only some of its members.
pub const PARTIAL_GANG_BOUND: Duration = Duration::from_secs(18);

/// The delay before a failed call is retried.
pub const CALL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long the end of a piece is reported to a leader that does not answer.
pub const END_REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval between two checkpoints of a running task.
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(60);

/// How long the fence of a job is retained after the last call about the job.
pub const FENCE_RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of fences that one guard retains.
pub const MAX_FENCES: usize = 4096;

/// The maximum number of ended gangs that one guard retains for owners that have not released
/// them.
pub const MAX_RETAINED_ENDS: usize = 256;

/// How long an ended gang is retained for an owner that has not released it.
pub const END_RETENTION: Duration = Duration::from_secs(2 * 3600);

/// The time without a watch by an owner after which the leader announces a gang as orphaned.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum number of orphaned gangs that one announcement names.
pub const MAX_ANNOUNCED_ORPHANS: usize = 4;
