//! A demonstration of how an account reclaims its guaranteed accelerators from a borrower.

use {
    super::{LocalError, LocalSystem},
    crate::process::output::print_text,
    crate::{
        connection::{
            CommitCall, EvictionMode, GangId, GangPhase, GangReply, GangRequest, GangWork,
            GuaranteedShare, GuardReply, GuardRequest, PeerHandler, PieceAddress, ReserveCall,
        },
        prelude::*,
        process::{
            guard::{RunningGuard, bounds::RECLAIM_BOUND},
            platform::Term,
        },
    },
};

/// The time limit for finding a guaranteed share that is free.
const SHARE_TIMEOUT: Duration = Duration::from_secs(15);

/// The interval between two searches for a free share.
const SHARE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The run time of the borrower's task without a reclaim, in milliseconds; also the lifetime of the
/// reservations.
const BORROWER_RUN_MS: u64 = 60_000;

/// Runs a task of another account on a guaranteed share, reclaims the share for its owner, and
/// prints how long the reclaim took.
///
/// # Errors
/// Returns [`LocalError::StepFailed`] if no share is free or a guard refuses a step, and
/// [`LocalError::Io`] if the result cannot be printed.
pub async fn demonstrate_reclaim(system: &LocalSystem) -> Result<(), LocalError> {
    let (guard, share) = find_idle_share(system).await?;
    let borrower = gang_id(1);
    let accelerators = share.accelerators.len();
    reserve(guard, borrower, &"borrower".into(), accelerators).await?;
    start_borrower(guard, borrower).await?;
    let owner = gang_id(2);
    let started = system.clock().now();
    reserve(guard, owner, &share.account, accelerators).await?;
    let duration = system.clock().now().since(started);
    for gang in [owner, borrower] {
        let ownership = 1;
        call_guard(guard, GangRequest::Release { gang, ownership }).await;
    }
    print_text(&format!(
        "{accelerators} accelerators guaranteed to {} were reclaimed from a running task in \
         {duration:?} (bound {RECLAIM_BOUND:?})\n",
        share.account,
    ))?;
    Ok(())
}

/// Returns a guard whose accelerators are all free and all guaranteed to one account, and that
/// account's share. A borrower of that size can then only run on the share.
async fn find_idle_share(
    system: &LocalSystem
) -> Result<(&RunningGuard, GuaranteedShare), LocalError> {
    let deadline = system.clock().now() + Millis::from(SHARE_TIMEOUT);
    while system.clock().now() < deadline {
        for guard in system.guards() {
            let announcement = guard.guard().next_announcement(guard.address());
            let all_free = announcement.accelerators_free == announcement.accelerators;
            let is_whole = |s: &&GuaranteedShare| s.accelerators == announcement.accelerators;
            if let Some(share) = announcement
                .guaranteed
                .iter()
                .find(is_whole)
                .filter(|_| all_free)
            {
                return Ok((guard, share.clone()));
            }
        }
        system.clock().sleep(SHARE_POLL_INTERVAL).await;
    }
    Err(LocalError::StepFailed(
        "no worker has all its accelerators free and guaranteed to one account",
    ))
}

async fn reserve(
    guard: &RunningGuard,
    gang: GangId,
    account: &AccountName,
    accelerators: u32,
) -> Result<(), LocalError> {
    let reserve = ReserveCall {
        gang,
        account: account.clone(),
        members: vec![0],
        accelerators_per_member: accelerators,
        eviction: EvictionMode::Checkpoint,
        lifetime_ms: BORROWER_RUN_MS,
        work: GangWork {
            kind: "demonstration".into(),
            payload: format!("run_ms={BORROWER_RUN_MS}").into_bytes().into(),
            progress_ms: 0,
            declared_run_ms: BORROWER_RUN_MS,
        },
    };
    match call_guard(guard, reserve.into()).await {
        GuardReply::Gang(GangReply::Reserved { .. }) => Ok(()),
        _ => Err(LocalError::StepFailed(
            "the guard refused to reserve the share",
        )),
    }
}

/// Commits the borrower's gang and waits up to 5 s until its task runs.
async fn start_borrower(
    guard: &RunningGuard,
    gang: GangId,
) -> Result<(), LocalError> {
    let pieces = vec![PieceAddress {
        guard: guard.address(),
        members: vec![0],
    }];
    call_guard(guard, CommitCall { gang, pieces }.into()).await;
    let watch = GangRequest::Watch {
        gang,
        known: Some(GangPhase::Starting),
        wait_ms: 5000,
    };
    match call_guard(guard, watch).await {
        GuardReply::Gang(GangReply::State {
            phase: GangPhase::Running,
            ..
        }) => Ok(()),
        _ => Err(LocalError::StepFailed("the borrower's task did not start")),
    }
}

async fn call_guard(
    guard: &RunningGuard,
    req: GangRequest,
) -> GuardReply {
    let handler = guard.guard().clone();
    handler.handle(GuardRequest::Gang(req)).await
}

fn gang_id(job: u64) -> GangId {
    GangId {
        job: JobId(job),
        term: Term {
            ownership: 1,
            start: 1,
        },
    }
}
