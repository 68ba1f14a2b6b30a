//! Starts a gang once: places it, reserves each piece at its guard and commits it at the leader
//! guard.

use {
    super::{Interrupt, JobRun, PlacedGang},
    crate::{
        connection::{
            CommitCall, EvictionMode, GangId, GangReply, GangRequest, GangWork, GuardReply,
            LinkError, PieceAddress, ReserveCall,
        },
        prelude::*,
        process::{entry::Entry, platform::Term},
        request::job::JobSpec,
        version::JobKind,
    },
    futures_util::future::join_all,
};

/// How long a guard keeps a reservation that is not started, in addition to its reclaim bound.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(5);

/// The timeout of a reservation, including the evictions that it requires.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(2500);

/// The timeout of a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// How many times a call is sent when it is not delivered or its reply is lost.
const MAX_CALL_ATTEMPTS: u32 = 3;

/// One attempt to start the whole gang.
pub(super) struct Start<'a> {
    pub(super) entry: &'a Entry,
    pub(super) spec: &'a JobSpec,
    pub(super) kind: &'a JobKind,
    pub(super) term: Term,
}

impl Start<'_> {
    /// Places, reserves and commits the gang; `None` when it does not start.
    pub(super) async fn run(
        &self,
        run: &JobRun,
        progress_ms: u64,
    ) -> Option<PlacedGang> {
        let decision = self.place(run, progress_ms).await?;
        let placed = self.group_by_guard(&decision.members)?;
        let all_reserved = self.reserve_all(&placed, progress_ms).await;
        run.queue_handle
            .confirm_reservations(self.entry.clock.now());
        if run.interrupt() == Some(Interrupt::Superseded) {
            return None;
        }
        if all_reserved && run.interrupt().is_none() && self.commit(&placed).await {
            return Some(placed);
        }
        placed.release(run).await;
        None
    }

    /// Groups the members into pieces by guard address. The first member's guard becomes the
    /// leader; `None` when a worker is no longer known.
    fn group_by_guard(
        &self,
        upstreams: &[UpstreamName],
    ) -> Option<PlacedGang> {
        let members = self.entry.members.borrow();
        let mut pieces: Vec<PieceAddress> = Vec::new();
        for (index, upstream) in (0..).zip(upstreams) {
            let guard = members.get(upstream)?.guard_address;
            match pieces.iter_mut().find(|p| p.guard == guard) {
                Some(piece) => piece.members.push(index),
                None => pieces.push(PieceAddress {
                    guard,
                    members: vec![index],
                }),
            }
        }
        let region = members.get(upstreams.first()?)?.region.clone();
        let gang = GangId {
            job: self.spec.id,
            term: self.term,
        };
        Some(PlacedGang::new(gang, pieces, Some(region)))
    }

    /// Reserves every piece; returns whether all are reserved.
    async fn reserve_all(
        &self,
        placed: &PlacedGang,
        progress_ms: u64,
    ) -> bool {
        let reservations = placed.pieces.iter().map(|p| self.reserve(p, progress_ms));
        join_all(reservations)
            .await
            .into_iter()
            .all(|reserved| reserved)
    }

    async fn reserve(
        &self,
        piece: &PieceAddress,
        progress_ms: u64,
    ) -> bool {
        let call = ReserveCall {
            gang: GangId {
                job: self.spec.id,
                term: self.term,
            },
            account: self.spec.account.clone(),
            members: piece.members.clone(),
            accelerators_per_member: self.kind.gang.accelerators,
            eviction: eviction_of(self.kind),
            lifetime_ms: Millis::from(RESERVATION_LIFETIME).0,
            work: GangWork {
                kind: self.kind.name.clone(),
                payload: self.spec.payload.clone(),
                progress_ms,
                declared_run_ms: Millis::from(self.kind.run_time).0,
            },
        };
        let reply = self.send(piece.guard, call.into(), RESERVE_TIMEOUT).await;
        matches!(reply, Some(GuardReply::Gang(GangReply::Reserved { .. })))
    }

    /// Commits the gang at the leader guard; `true` unless it is known not to be committed.
    async fn commit(
        &self,
        placed: &PlacedGang,
    ) -> bool {
        let call = CommitCall {
            gang: placed.gang,
            pieces: placed.pieces.clone(),
        };
        let reply = self
            .send(placed.leader_address(), call.into(), COMMIT_TIMEOUT)
            .await;
        !matches!(reply, Some(GuardReply::Refused(_)))
    }

    /// Sends a call until a reply arrives, at most [`MAX_CALL_ATTEMPTS`] times.
    async fn send(
        &self,
        guard: SocketAddr,
        req: GangRequest,
        timeout: Duration,
    ) -> Option<GuardReply> {
        for _ in 0..MAX_CALL_ATTEMPTS {
            match PlacedGang::call(self.entry, guard, req.clone(), timeout).await {
                Ok(reply) => return Some(reply),
                Err(LinkError::NotSent | LinkError::ReplyLost) => {}
            }
        }
        None
    }
}

fn eviction_of(kind: &JobKind) -> EvictionMode {
    match (kind.checkpoint, kind.stoppable) {
        (true, _) => EvictionMode::Checkpoint,
        (false, true) => EvictionMode::Stop,
        (false, false) => EvictionMode::Never,
    }
}
