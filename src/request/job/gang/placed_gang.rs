//! Sends the calls about a gang to the guards on which it was placed.

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

/// The timeout of a release, in which the guard waits for the tasks to stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// The pause before a failed release is retried while the tasks' leases may be valid.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The pause before a failed release is retried after the tasks' leases have expired.
const LATE_RELEASE_RETRY_DELAY: Duration = Duration::from_secs(5);

/// How long releases are retried after the tasks' leases have expired.
const LATE_RELEASE_TIMEOUT: Duration = Duration::from_secs(2 * 3600);

/// A gang with its pieces; the first is on the leader guard.
#[derive(Clone, Debug)]
pub(super) struct PlacedGang {
    pub(super) gang: GangId,
    pub(super) pieces: Vec<PieceAddress>,
    /// The region of the leader guard, when it is known.
    pub(super) region: Option<Region>,
}

impl PlacedGang {
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

    /// Returns the leader guard's address.
    pub(super) fn leader_address(&self) -> SocketAddr {
        self.pieces[0].guard
    }

    /// Releases every piece; returns when each guard has answered or the tasks' leases have
    /// expired. Releases without an answer by then are retried in the background.
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
        let deadline = run.entry.clock.now() + Millis::from(PARTIAL_GANG_BOUND);
        let (entry, gang, ownership) = (&run.entry, self.gang, run.ownership);
        if release_until(entry, guard, gang, ownership, deadline, RELEASE_RETRY_DELAY).await {
            return;
        }
        tracing::warn!(
            %gang,
            %guard,
            "guard did not answer the release before the lease expired; retrying in the background"
        );
        let entry = run.entry.clone();
        let deadline = entry.clock.now() + Millis::from(LATE_RELEASE_TIMEOUT);
        compio::runtime::spawn(async move {
            release_until(
                &entry,
                guard,
                gang,
                ownership,
                deadline,
                LATE_RELEASE_RETRY_DELAY,
            )
            .await
        })
        .detach();
    }

    /// Sends one call to a guard; a timeout counts as a lost reply.
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

/// Retries a release until the guard confirms or fences it; `false` when `deadline` passes first.
async fn release_until(
    entry: &Rc<Entry>,
    guard: SocketAddr,
    gang: GangId,
    ownership: u32,
    deadline: Millis,
    retry_delay: Duration,
) -> bool {
    while entry.clock.now() < deadline {
        let req = GangRequest::Release { gang, ownership };
        match PlacedGang::call(entry, guard, req, RELEASE_TIMEOUT).await {
            Ok(GuardReply::Gang(GangReply::Done) | GuardReply::Refused(Refusal::Fenced)) => {
                return true;
            }
            _ => entry.clock.sleep(retry_delay).await,
        }
    }
    false
}
