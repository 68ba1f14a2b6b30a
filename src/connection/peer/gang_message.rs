//! The messages about gangs.

use {
    super::Refusal,
    crate::{
        prelude::*,
        process::platform::{TaskId, Term},
    },
    derive_more::{Display, From},
    serde::{Deserialize, Serialize},
};

/// The identity of one start of a job's gang.
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

/// What an entry or a lead guard asks of a guard about a gang. Each call can be sent again without
/// another effect.
#[derive(Clone, Debug, Deserialize, From, Serialize)]
pub enum GangRequest {
    /// Hold accelerators for the members that are to run here.
    Reserve(ReserveCall),
    /// Start the whole gang: sent to the lead guard, where it is the commit point.
    Commit(CommitCall),
    /// Start the members that are reserved here: sent by the lead guard.
    #[from(skip)]
    Start(StartCall),
    /// Renew the lease of a piece: sent to the lead guard.
    Beat(Beat),
    /// Stop the members that run here: sent by the lead guard.
    #[from(skip)]
    Stop {
        /// The gang.
        gang: GangId,
    },
    /// Evict the gang, so that work that cannot wait has its place: sent to the lead guard by the
    /// gang's owner.
    #[from(skip)]
    GiveWay {
        /// The gang.
        gang: GangId,
    },
    /// Tell how the gang stands, waiting for a change: sent to the lead guard.
    #[from(skip)]
    Watch {
        /// The gang.
        gang: GangId,
        /// The state that the caller knows; the reply waits until it is another one.
        known: Option<GangPhase>,
        /// The longest wait, in milliseconds.
        wait_ms: u64,
    },
    /// Stop what the gang runs here, give its accelerators back and forget its end.
    #[from(skip)]
    Release {
        /// The gang.
        gang: GangId,
        /// The ownership under which the caller drives the job.
        ownership: u32,
    },
    /// Tell what is known of a job, and refuse earlier owners' calls from now on.
    #[from(skip)]
    Inspect {
        /// The job.
        job: JobId,
        /// The ownership under which the caller drives the job.
        ownership: u32,
    },
}

/// How a task gives its accelerators back before it has finished.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Eviction {
    /// It does not.
    Never,
    /// It is stopped and runs again from its start.
    Stop,
    /// It is checkpointed and stopped, and goes on from there.
    Checkpoint,
}

/// A reservation for the members of a gang that are to run on one worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReserveCall {
    /// The gang.
    pub gang: GangId,
    /// The account that owns the job.
    pub account: AccountName,
    /// The indexes of the members in the gang.
    pub members: Vec<u32>,
    /// The number of accelerators of each member.
    pub accelerators: u32,
    /// How the tasks give their accelerators back.
    pub eviction: Eviction,
    /// How long the reservation stands without a start, in milliseconds.
    pub hold_ms: u64,
    /// What the tasks run.
    pub work: Work,
}

impl ReserveCall {
    /// Returns the number of members that hold no accelerator.
    pub fn plain_tasks(&self) -> u32 {
        match self.accelerators {
            0 => self.members.len() as u32,
            _ => 0,
        }
    }
}

/// What the tasks of a gang run.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Work {
    /// The job's kind.
    pub kind: KindName,
    /// The job's payload.
    pub payload: Bytes,
    /// The progress to start from, in milliseconds of run time.
    pub progress_ms: u64,
    /// The run time that the job declares, in milliseconds.
    pub declared_ms: u64,
}

/// The members of a gang on one worker, with its guard's address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceAddress {
    /// Where the guard takes calls.
    pub guard: SocketAddr,
    /// The indexes of the members in the gang.
    pub members: Vec<u32>,
}

/// The commit of a gang.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CommitCall {
    /// The gang.
    pub gang: GangId,
    /// All pieces; the first is the lead guard's own.
    pub pieces: Vec<PieceAddress>,
}

/// The start of one piece.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct StartCall {
    /// The gang.
    pub gang: GangId,
    /// Where the lead guard takes calls.
    pub lead: SocketAddr,
    /// The piece's index in the commit.
    pub piece: u32,
}

/// A renewal of a piece's lease.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Beat {
    /// The gang.
    pub gang: GangId,
    /// The piece's index in the commit.
    pub piece: u32,
    /// How the piece stands.
    pub state: PieceState,
}

/// How a piece stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PieceState {
    /// Its tasks run.
    Running {
        /// The progress that checkpoints of all its tasks hold, in milliseconds of run time.
        progress_ms: u64,
    },
    /// Its tasks have ended and its accelerators are given back.
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
        /// Why.
        cause: StopCause,
        /// The progress that checkpoints of all its tasks hold, in milliseconds of run time.
        progress_ms: u64,
    },
}

/// Why a piece was stopped.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum StopCause {
    /// The accelerators were reclaimed by the account that is guaranteed them.
    #[display("evicted")]
    Evicted,
    /// The gang is stopped as a whole.
    #[display("stopped with its gang")]
    WithGang,
    /// The owner released the gang.
    #[display("released")]
    Released,
    /// The lead guard did not renew the lease.
    #[display("lease lapsed")]
    LeaseLapsed,
    /// The worker gave no answer or lost the task.
    #[display("worker lost")]
    WorkerLost,
}

/// Where a gang is in its life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GangPhase {
    /// Committed; some tasks may not run yet.
    Starting,
    /// Every task runs or has finished.
    Running,
    /// The tasks are being stopped.
    Stopping,
    /// No task runs any more.
    Ended(GangEnd),
}

/// How a gang ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GangEnd {
    /// All tasks finished; the result is that of member 0.
    Finished(Bytes),
    /// A task failed.
    Failed {
        /// Why.
        reason: String,
        /// The index of its piece in the commit.
        piece: u32,
    },
    /// A piece was evicted.
    Evicted {
        /// The progress that checkpoints of all tasks hold, in milliseconds of run time.
        progress_ms: u64,
    },
    /// A piece was lost.
    Lost {
        /// The progress that checkpoints of all tasks hold, in milliseconds of run time.
        progress_ms: u64,
        /// What happened to it.
        cause: StopCause,
        /// The piece's index in the commit.
        piece: u32,
    },
    /// A piece could not be started.
    NotStarted {
        /// Why.
        refusal: Refusal,
        /// The piece's index in the commit.
        piece: u32,
    },
    /// The owner released the gang.
    Released,
}

/// What a guard answers to a call about a gang.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GangReply {
    /// The accelerators are held.
    Reserved {
        /// The accelerators.
        accelerators: AcceleratorSet,
    },
    /// The call was done, or had been before.
    Done,
    /// How the gang stands.
    State {
        /// Where it is in its life.
        phase: GangPhase,
        /// The progress that checkpoints of all tasks hold, in milliseconds of run time.
        progress_ms: u64,
    },
    /// What is known of a job here.
    Known(Vec<KnownGang>),
}

/// What one guard knows of one start of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownGang {
    /// The gang.
    pub gang: GangId,
    /// The pieces, when this guard leads the gang.
    pub led: Option<Vec<PieceAddress>>,
    /// The lead guard, when members were started here.
    pub lead: Option<SocketAddr>,
}

impl GangId {
    /// Returns the identity of a member's task.
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
    /// Returns the job that the call is about.
    pub fn job(&self) -> JobId {
        match self {
            Self::Reserve(call) => call.gang.job,
            Self::Commit(call) => call.gang.job,
            Self::Start(call) => call.gang.job,
            Self::Beat(beat) => beat.gang.job,
            Self::Stop { gang }
            | Self::GiveWay { gang }
            | Self::Watch { gang, .. }
            | Self::Release { gang, .. } => gang.job,
            Self::Inspect { job, .. } => *job,
        }
    }
}

impl Eviction {
    /// Tells whether the task gives its accelerators back.
    pub fn is_possible(self) -> bool {
        self != Self::Never
    }
}

impl PieceState {
    /// Returns the progress that a restart could use, in milliseconds of run time; `None` when the
    /// piece needs none any more.
    pub fn progress_ms(&self) -> Option<u64> {
        match self {
            Self::Running { progress_ms } | Self::Ended(PieceEnd::Stopped { progress_ms, .. }) => {
                Some(*progress_ms)
            }
            Self::Ended(PieceEnd::Finished(_) | PieceEnd::Failed(_)) => None,
        }
    }
}
