//! The requests to a guard and its replies.

use {
    super::{GangReply, GangRequest},
    crate::prelude::*,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// A request to a guard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GuardRequest {
    /// Runs a caller's request, which takes a slot.
    Run(RequestCall),
    /// Acts on a gang or inspects it.
    Gang(GangRequest),
    /// Records the document version in force. The parts of the document that a guard needs come
    /// with each call and with the layout.
    Document {
        /// The version; an older one is ignored.
        version: VersionNumber,
    },
    /// Applies the layout of guaranteed accelerators.
    Layout {
        /// The layout's number on the log; an older one is ignored.
        number: u64,
        /// The guaranteed accelerators of this upstream, by account.
        guaranteed: Vec<GuaranteedShare>,
    },
    /// Stops the admission of new work while running work finishes, or admits new work again.
    Drain {
        /// Whether the guard is to drain.
        #[serde(rename = "on")]
        is_draining: bool,
    },
}

/// The accelerators of one upstream that are guaranteed to one account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteedShare {
    /// The account.
    pub account: AccountName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
}

impl GuaranteedShare {
    /// Returns the accelerators in all shares of one account.
    pub fn of_account(
        shares: &[Self],
        account: &AccountName,
    ) -> AcceleratorSet {
        let own = shares.iter().filter(|s| s.account == *account);
        own.fold(AcceleratorSet::empty(), |all, s| all.union(s.accelerators))
    }

    /// Returns the accelerators in all shares.
    pub fn union_of(shares: &[Self]) -> AcceleratorSet {
        let all = shares.iter().map(|s| s.accelerators);
        all.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }
}

/// A call to run one attempt of a caller's request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RequestCall {
    /// The request's ID.
    pub id: RequestId,
    /// The attempt number, counted from 1.
    pub attempt: u32,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The account that sent the request.
    pub account: AccountName,
    /// The request's kind.
    pub kind: KindName,
    /// The request's body.
    pub body: Bytes,
    /// The timeout of the attempt, in milliseconds.
    pub timeout_ms: u64,
    /// The limit on the answer, in bytes.
    #[serde(rename = "max_answer")]
    pub max_answer_bytes: u64,
    /// When the entry sent the call, in milliseconds by the entry's wall clock.
    pub sent_ms: u64,
}

/// A guard's reply to a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GuardReply {
    /// The upstream's answer.
    Answer {
        /// The ID of the answered request.
        id: RequestId,
        /// The HTTP status code.
        status: u16,
        /// The body of the answer.
        body: Bytes,
    },
    /// The guard refused the call. A refused request was not run, and a refused reservation
    /// reserved nothing.
    Refused(Refusal),
    /// The answer is lost; the request may have run.
    Unknown {
        /// The error that was observed.
        reason: String,
    },
    /// The reply to a call about a gang.
    Gang(GangReply),
    /// The call succeeded.
    Done,
}

/// Why a guard refused a call.
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
    /// The guard knows a newer ownership of the job, this start of the job is closed, or the piece
    /// has to stop.
    #[display("fenced by a newer term")]
    Fenced,
    /// The request arrived after its deadline.
    #[display("past the deadline")]
    Late,
    /// The worker refused the call or did not carry it out in time.
    #[display("the worker refused")]
    Worker,
    /// The guard has no unexpired reservation or no gang that matches the call.
    #[display("no such reservation")]
    NotReserved,
    /// The worker's limit on tasks without accelerators is reached.
    #[display("no room for tasks without accelerators")]
    NoTaskRoom,
}
