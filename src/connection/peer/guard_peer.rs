//! A guard as its peers see it.

use {
    super::{GuardReply, GuardRequest},
    derive_more::{Display, Error},
    futures_util::future::LocalBoxFuture,
};

/// Why a call to a guard brought no reply.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum LinkError {
    /// The call was never sent, so it had no effect.
    #[display("not sent")]
    NotSent,
    /// The call was sent and its reply was lost, so it may have had its effect.
    #[display("reply lost")]
    ReplyLost,
}

/// The way to one guard.
pub trait GuardPeer {
    /// Sends a call and waits for its reply.
    ///
    /// # Errors
    /// [`LinkError`], which tells whether the call can have had an effect.
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>>;
}
