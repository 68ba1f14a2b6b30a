//! The messages of the protocol.

use {
    crate::{
        prelude::*,
        process::platform::{TaskEnd, TaskId, TaskStart, TaskState},
    },
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// What an entry asks of a guard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GuardRequest {
    /// Run a request under a slot.
    Run(RunGrant),
    /// Hold accelerators for one member of a gang until they are committed or released.
    Reserve(ReserveCall),
    /// Start the member's task on its reservation.
    Commit(TaskStart),
    /// Give back whatever the member holds, and stop its task.
    Release {
        /// The member's task; an older term changes nothing.
        id: TaskId,
    },
    /// Renew the member's lease and tell how its task stands, waiting for its end.
    Renew {
        /// The member's task.
        id: TaskId,
        /// The longest wait for the task's end, in milliseconds.
        wait_ms: u64,
    },
    /// Take over a document version.
    Document {
        /// The version.
        version: VersionNumber,
        /// The document's text.
        text: Arc<str>,
    },
    /// Take over which accelerators are guaranteed to whom.
    Layout {
        /// The layout's number on the log; an older one changes nothing.
        number: u64,
        /// The guaranteed accelerators of this upstream.
        guaranteed: Vec<GuaranteedShare>,
    },
    /// Stop taking new work and finish what runs, or take new work again.
    Drain {
        /// Whether to drain.
        on: bool,
    },
}

/// The accelerators of one upstream that one account is guaranteed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteedShare {
    /// The account.
    pub account: AccountName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
}

/// A request to run, with who is asking.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunGrant {
    /// The request's identity.
    pub id: RequestId,
    /// The number of the attempt, counted from 1.
    pub attempt: u32,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The account that sends it.
    pub account: AccountName,
    /// The request's kind.
    pub kind: KindName,
    /// The request's body.
    pub body: Bytes,
    /// The longest time that it may take, in milliseconds.
    pub timeout_ms: u64,
    /// The largest answer, in bytes.
    pub max_answer: u64,
    /// When the entry sent it, in milliseconds by the entry's time of day.
    pub sent_ms: u64,
}

/// A reservation for one member of a gang.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReserveCall {
    /// The member's task.
    pub id: TaskId,
    /// The account that owns the job.
    pub account: AccountName,
    /// The number of accelerators.
    pub accelerators: u32,
    /// Whether the task gives its accelerators back when they are reclaimed.
    pub evictable: bool,
    /// How long the reservation stands without a commit, in milliseconds.
    pub hold_ms: u64,
}

/// What a guard answers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GuardReply {
    /// The upstream's answer.
    Answer {
        /// The answered request.
        id: RequestId,
        /// The HTTP status.
        status: u16,
        /// The answer's body.
        body: Bytes,
    },
    /// The guard refused, so nothing was run or changed.
    Refused(Refusal),
    /// The request may have run, but its answer is lost.
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The accelerators are held.
    Reserved {
        /// The accelerators.
        accelerators: AcceleratorSet,
    },
    /// The call was done.
    Done,
    /// How the member's task stands.
    Task(TaskState),
    /// The member's task has ended on this guard, with its result if it finished.
    Ended(TaskEnd),
}

/// Why a guard refused.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Error, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum Refusal {
    /// No slot is free.
    #[display("no free slot")]
    NoSlot,
    /// Not enough accelerators are free for this account.
    #[display("not enough free accelerators")]
    NoAccelerators,
    /// The upstream is draining or leaving.
    #[display("draining")]
    Draining,
    /// A newer term of the job is known, or the reservation has lapsed.
    #[display("fenced by a newer term")]
    Fenced,
    /// The request came after its deadline.
    #[display("past the deadline")]
    Late,
    /// The worker did not take the call.
    #[display("the worker refused")]
    Worker,
    /// The call does not fit the guard's state.
    #[display("no such reservation")]
    NotReserved,
}
