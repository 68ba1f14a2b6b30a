//! A gang with the guards that it was placed on.

use {
    super::JobRun,
    crate::{
        connection::{
            GangId, GangReply, GangRequest, GuardReply, GuardRequest, LinkError, PieceAddress,
            Refusal,
        },
        prelude::*,
        process::{clock::with_timeout, entry::Entry, guard::bounds::PARTIAL_GANG_BOUND},
    },
    futures_util::future::join_all,
    std::rc::Rc,
};

/// The longest time that a release may take; the guard waits for the tasks' stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// The pause before a failed release is sent again.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The pause between releases to a guard that has not answered for long.
const LATE_RELEASE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// How long a guard that does not answer is sent releases.
const LATE_RELEASE_TIMEOUT: Duration = Duration::from_secs(2 * 3600);

/// A gang with its pieces; the first is the lead guard's.
#[derive(Clone, Debug)]
pub(super) struct PlacedGang {
    pub(super) gang: GangId,
    pub(super) pieces: Vec<PieceAddress>,
    /// The region of the lead guard, when it is known.
    pub(super) region: Option<Region>,
}

impl PlacedGang {
    /// Creates a placed gang.
    pub(super) fn new(
        gang: GangId,
        pieces: Vec<PieceAddress>,
        region: Option<Region>,
    ) -> Self {
        Self {
            gang,
            pieces,
            region,
        }
    }

    /// Returns the lead guard's address.
    pub(super) fn leader_address(&self) -> SocketAddr {
        self.pieces[0].guard
    }

    /// Releases every piece, until each guard has answered or the tasks' leases have lapsed.
    pub(super) async fn release(
        &self,
        run: &JobRun,
    ) {
        let releases = self.pieces.iter().map(|p| self.release_piece(run, p.guard));
        join_all(releases).await;
    }

    async fn release_piece(
        &self,
        run: &JobRun,
        guard: SocketAddr,
    ) {
        let until = run.entry.clock.now() + Millis::from(PARTIAL_GANG_BOUND);
        let (entry, gang, ownership) = (&run.entry, self.gang, run.ownership);
        if release_until(entry, guard, gang, ownership, until, RELEASE_RETRY_DELAY).await {
            return;
        }
        tracing::warn!(%gang, %guard, "a guard has not answered a release; its lease has lapsed");
        let entry = run.entry.clone();
        let until = entry.clock.now() + Millis::from(LATE_RELEASE_TIMEOUT);
        compio::runtime::spawn(async move {
            release_until(
                &entry,
                guard,
                gang,
                ownership,
                until,
                LATE_RELEASE_RETRY_DELAY,
            )
            .await
        })
        .detach();
    }

    /// Sends one call to a guard.
    pub(super) async fn call(
        entry: &Entry,
        guard: SocketAddr,
        req: GangRequest,
        timeout: Duration,
    ) -> Result<GuardReply, LinkError> {
        let peer = entry.dialer.peer(guard);
        let call = peer.call(GuardRequest::Gang(req));
        let reply = with_timeout(&*entry.clock, timeout, call).await;
        reply.unwrap_or(Err(LinkError::ReplyLost))
    }
}

/// Sends a release until it is answered; `false` when the time is over first.
async fn release_until(
    entry: &Rc<Entry>,
    guard: SocketAddr,
    gang: GangId,
    ownership: u32,
    until: Millis,
    pause: Duration,
) -> bool {
    while entry.clock.now() < until {
        let req = GangRequest::Release { gang, ownership };
        match PlacedGang::call(entry, guard, req, RELEASE_TIMEOUT).await {
            Ok(GuardReply::Gang(GangReply::Done) | GuardReply::Refused(Refusal::Fenced)) => {
                return true;
            }
            _ => entry.clock.sleep(pause).await,
        }
    }
    false
}
