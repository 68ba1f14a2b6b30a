//! The calls and replies about gangs.

use {
    super::Refusal,
    crate::{
        prelude::*,
        process::platform::{TaskId, Term},
    },
    derive_more::{Display, From},
    serde::{Deserialize, Serialize},
};

/// The ID of one start of a job's gang.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}-{term}")]
pub struct GangId {
    /// The job.
    pub job: JobId,
    /// The fencing term of the start.
    pub term: Term,
}

/// A call about a gang, from an entry or from another guard. Every call is idempotent.
#[derive(Clone, Debug, Deserialize, From, Serialize)]
pub enum GangRequest {
    /// Reserves accelerators for the members that are to run on this worker.
    Reserve(ReserveCall),
    /// Starts the whole gang. Sent to the leading guard, where it is the commit point.
    Commit(CommitCall),
    /// Starts the members that are reserved on this worker. Sent by the leading guard.
    #[from(skip)]
    Start(StartCall),
    /// Renews the lease of a piece. Sent to the leading guard.
    #[serde(rename = "Beat")]
    Heartbeat(PieceHeartbeat),
    /// Stops the members that run on this worker. Sent by the leading guard.
    #[from(skip)]
    Stop {
        /// The gang.
        gang: GangId,
    },
    /// Evicts the gang in favour of more urgent work. Sent to the leading guard by the entry that
    /// owns the job.
    #[from(skip)]
    #[serde(rename = "GiveWay")]
    Preempt {
        /// The gang.
        gang: GangId,
    },
    /// Returns the gang's phase and progress, once the phase differs from `known` or after
    /// `wait_ms`. Sent to the leading guard.
    #[from(skip)]
    Watch {
        /// The gang.
        gang: GangId,
        /// The phase that the caller has observed; the reply is delayed until the phase differs.
        known: Option<GangPhase>,
        /// The maximum delay of the reply, in milliseconds.
        wait_ms: u64,
    },
    /// Closes this start of the job: stops its tasks on this worker, releases their accelerators
    /// and removes the record of its end.
    #[from(skip)]
    Release {
        /// The gang.
        gang: GangId,
        /// The caller's ownership of the job.
        ownership: u32,
    },
    /// Returns the starts of a job that this guard knows and fences off calls of earlier
    /// ownerships.
    #[from(skip)]
    Inspect {
        /// The job.
        job: JobId,
        /// The caller's ownership of the job.
        ownership: u32,
    },
}

/// How a task is evicted from its accelerators before it has finished.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EvictionMode {
    /// The task cannot be evicted.
    Never,
    /// The task is stopped and later restarted from its beginning.
    Stop,
    /// The task is checkpointed and stopped, and later resumed from the checkpoint.
    Checkpoint,
}

/// A call to reserve accelerators for the members of a gang that are to run on one worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReserveCall {
    /// The gang.
    pub gang: GangId,
    /// The account that owns the job.
    pub account: AccountName,
    /// The indexes of the members in the gang.
    pub members: Vec<u32>,
    /// The number of accelerators of each member.
    #[serde(rename = "accelerators")]
    pub accelerators_per_member: u32,
    /// How the tasks are evicted.
    pub eviction: EvictionMode,
    /// How long the reservation is valid without a start, in milliseconds.
    #[serde(rename = "hold_ms")]
    pub lifetime_ms: u64,
    /// The work of the tasks.
    pub work: GangWork,
}

impl ReserveCall {
    /// Returns the number of members without accelerators.
    pub fn plain_task_count(&self) -> u32 {
        match self.accelerators_per_member {
            0 => self.members.len() as u32,
            _ => 0,
        }
    }
}

/// The work that the tasks of a gang run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GangWork {
    /// The job's kind.
    pub kind: KindName,
    /// The job's payload.
    pub payload: Bytes,
    /// The progress to start from, in milliseconds of run time.
    pub progress_ms: u64,
    /// The declared run time of the job, in milliseconds.
    #[serde(rename = "declared_ms")]
    pub declared_run_ms: u64,
}

/// The members of a gang on one worker, with the address of its guard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceAddress {
    /// The address at which the guard accepts calls.
    pub guard: SocketAddr,
    /// The indexes of the members in the gang.
    pub members: Vec<u32>,
}

/// A call to commit a gang.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CommitCall {
    /// The gang.
    pub gang: GangId,
    /// All pieces; the first one is on the leading guard's worker.
    pub pieces: Vec<PieceAddress>,
}

/// A call to start one piece.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StartCall {
    /// The gang.
    pub gang: GangId,
    /// The address at which the leading guard accepts calls.
    #[serde(rename = "lead")]
    pub leader_address: SocketAddr,
    /// The piece's index in the commit.
    pub piece: u32,
}

/// A heartbeat of a piece, which renews its lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PieceHeartbeat {
    /// The gang.
    pub gang: GangId,
    /// The piece's index in the commit.
    pub piece: u32,
    /// The state of the piece.
    pub state: PieceState,
}

/// The state of a piece.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PieceState {
    /// Its tasks run.
    Running {
        /// The progress that the checkpoints of all its tasks include, in milliseconds of run time.
        progress_ms: u64,
    },
    /// Its tasks have ended and its accelerators are released.
    Ended(PieceEnd),
}

/// How a piece ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PieceEnd {
    /// All its tasks finished; the result is that of its first member.
    Finished(Bytes),
    /// A task failed.
    Failed(String),
    /// Its tasks were stopped.
    Stopped {
        /// The cause of the stop.
        cause: StopCause,
        /// The progress that the checkpoints of all its tasks include, in milliseconds of run time.
        progress_ms: u64,
    },
}

/// Why a piece was stopped.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum StopCause {
    /// The account to which the accelerators are guaranteed reclaimed them, or the gang was
    /// preempted for more urgent work.
    #[display("evicted")]
    Evicted,
    /// The whole gang is stopped.
    #[display("stopped with its gang")]
    WithGang,
    /// The entry that owns the job released the gang.
    #[display("released")]
    Released,
    /// The lease expired: the leading guard did not renew it, or received no heartbeat of the
    /// piece.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// The worker did not answer or lost the task.
    #[display("worker lost")]
    WorkerLost,
}

/// The phase of a gang.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GangPhase {
    /// The gang is committed; some tasks may not run yet.
    Starting,
    /// Every task runs or has finished.
    Running,
    /// The tasks are being stopped.
    Stopping,
    /// All tasks have ended.
    Ended(GangEnd),
}

/// How a gang ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GangEnd {
    /// All tasks finished; the result is that of member 0.
    Finished(Bytes),
    /// A task failed.
    Failed {
        /// The reason for the failure.
        reason: String,
        /// The index of its piece in the commit.
        piece: u32,
    },
    /// A piece was evicted.
    Evicted {
        /// The progress that the checkpoints of all tasks include, in milliseconds of run time.
        progress_ms: u64,
    },
    /// A piece was lost.
    Lost {
        /// The progress that the checkpoints of all tasks include, in milliseconds of run time.
        progress_ms: u64,
        /// The cause of the loss.
        cause: StopCause,
        /// The piece's index in the commit.
        piece: u32,
    },
    /// A piece could not be started.
    NotStarted {
        /// Why the guard of the piece refused the start.
        refusal: Refusal,
        /// The piece's index in the commit.
        piece: u32,
    },
    /// The entry that owns the job released the gang.
    Released,
}

/// A guard's reply to a call about a gang.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GangReply {
    /// The accelerators are reserved.
    Reserved {
        /// The reserved accelerators.
        accelerators: AcceleratorSet,
    },
    /// The call is carried out, now or by an earlier attempt.
    Done,
    /// The state of the gang.
    State {
        /// The phase.
        phase: GangPhase,
        /// The progress that the checkpoints of all tasks include, in milliseconds of run time.
        progress_ms: u64,
    },
    /// The starts of a job that this guard knows.
    Known(Vec<KnownGang>),
}

/// What one guard has recorded about one start of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownGang {
    /// The gang.
    pub gang: GangId,
    /// The pieces, if this guard leads the gang.
    pub led: Option<Vec<PieceAddress>>,
    /// The address of the leading guard, if members were started on this worker.
    pub lead: Option<SocketAddr>,
}

impl GangId {
    /// Returns the ID of a member's task.
    pub fn task(
        self,
        member: u32,
    ) -> TaskId {
        TaskId {
            job: self.job,
            term: self.term,
            member,
        }
    }
}

impl GangRequest {
    /// Returns the job that the call refers to.
    pub fn job(&self) -> JobId {
        match self {
            Self::Reserve(call) => call.gang.job,
            Self::Commit(call) => call.gang.job,
            Self::Start(call) => call.gang.job,
            Self::Heartbeat(heartbeat) => heartbeat.gang.job,
            Self::Stop { gang }
            | Self::Preempt { gang }
            | Self::Watch { gang, .. }
            | Self::Release { gang, .. } => gang.job,
            Self::Inspect { job, .. } => *job,
        }
    }
}

impl EvictionMode {
    /// Returns whether the task can be evicted.
    pub fn is_possible(self) -> bool {
        self != Self::Never
    }
}

impl PieceState {
    /// Returns the progress that a restart could resume from, in milliseconds of run time; `None`
    /// when the piece has finished or failed.
    pub fn progress_ms(&self) -> Option<u64> {
        match self {
            Self::Running { progress_ms } | Self::Ended(PieceEnd::Stopped { progress_ms, .. }) => {
                Some(*progress_ms)
            }
            Self::Ended(PieceEnd::Finished(_) | PieceEnd::Failed(_)) => None,
        }
    }
}
