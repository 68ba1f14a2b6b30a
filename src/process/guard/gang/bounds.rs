//! The times that bound the life of a gang.

use std::time::Duration;

/// The pause between two renewals of a piece's lease with its lead guard.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// How long a piece runs without a renewal of its lease by the lead guard.
pub const PIECE_LEASE: Duration = Duration::from_secs(6);

/// How long a task runs without a renewal of its lease by its guard.
pub const TASK_LEASE: Duration = Duration::from_secs(4);

/// How long a task may run after its guard was last heard: a renewal that was under way extends the
/// lease once more when its wait ends.
pub const QUARANTINE: Duration = Duration::from_millis(6500);

/// The longest time that a checkpoint before an eviction may take.
pub const CHECKPOINT_TIMEOUT: Duration = Duration::from_millis(600);

/// The longest time that one call to a worker that does not wait may take.
pub const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The longest time between the claim of a guaranteed share and its reservation, evictions
/// included.
pub const RECLAIM_BOUND: Duration = Duration::from_millis(1000);

/// The longest time that a renewal of a piece's lease may take.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time between the commit of a gang and the start of its last piece.
pub const START_TIMEOUT: Duration = Duration::from_secs(3);

/// The longest time that tasks of a piece run after its last renewal by the lead guard.
pub const PIECE_STOP_BOUND: Duration = Duration::from_secs(11);

/// The longest time that a gang runs on a part of its members.
pub const PARTIAL_GANG_BOUND: Duration = Duration::from_secs(18);

/// The pause before a failed call is sent again.
pub const CALL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long a piece tells its end to a lead guard that does not answer.
pub const END_REPORT_TIMEOUT: Duration = Duration::from_secs(60);

/// The pause between two checkpoints of a running task.
pub const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(60);

/// How long the fence of a job is kept after the last call about it.
pub const FENCE_RETENTION: Duration = Duration::from_secs(600);

/// The most fences that one guard keeps.
pub const MAX_FENCES: usize = 4096;

/// The most ends of gangs that one guard keeps for owners that have not released them.
pub const MAX_RETAINED_ENDS: usize = 256;

/// How long the end of a gang is kept for an owner that has not released it.
pub const END_RETENTION: Duration = Duration::from_secs(2 * 3600);

/// How long no owner has asked about a gang before its lead guard announces it.
pub const ORPHAN_TIMEOUT: Duration = Duration::from_secs(30);

/// The most gangs without an owner that one announcement names.
pub const MAX_ANNOUNCED_ORPHANS: usize = 4;
