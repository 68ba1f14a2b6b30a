//! The interface for calls to a guard.

use {
    super::{GuardReply, GuardRequest},
    derive_more::{Display, Error},
    futures_util::future::LocalBoxFuture,
};

/// An error of a call to a guard that returned no reply.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LinkError {
    /// The call was never sent, so it had no effect.
    #[display("not sent")]
    NotSent,
    /// The call was sent and its reply was lost, so it may have taken effect.
    #[display("reply lost")]
    ReplyLost,
}

/// A guard that accepts calls.
pub trait GuardPeer {
    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    /// Returns [`LinkError`], which distinguishes calls without effect from calls that may have
    /// taken effect.
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>>;
}
