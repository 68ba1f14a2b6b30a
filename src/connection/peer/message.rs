//! The messages of the protocol.

use {
    super::{GangReply, GangRequest},
    crate::prelude::*,
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
};

/// What an entry asks of a guard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum GuardRequest {
    /// Run a request under a slot.
    Run(RunGrant),
    /// A call about a gang.
    Gang(GangRequest),
    /// Take note of the document version in force. What a guard needs of the document comes with
    /// each call and with the layout.
    Document {
        /// The version; an older one changes nothing.
        version: VersionNumber,
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

impl GuaranteedShare {
    /// Returns the accelerators of one account's shares.
    pub fn of_account(
        shares: &[Self],
        account: &AccountName,
    ) -> AcceleratorSet {
        let own = shares.iter().filter(|s| s.account == *account);
        own.fold(AcceleratorSet::empty(), |all, s| all.union(s.accelerators))
    }

    /// Returns the accelerators of all shares.
    pub fn union_of(shares: &[Self]) -> AcceleratorSet {
        let all = shares.iter().map(|s| s.accelerators);
        all.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }
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
    /// The answer to a call about a gang.
    Gang(GangReply),
    /// The call was done.
    Done,
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
    /// As many tasks without accelerators run as may.
    #[display("no room for tasks without accelerators")]
    NoTaskRoom,
}
