//! Shows how a guaranteed share is taken back from a borrower.

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

/// How long guards are looked at for a share that nothing holds.
const SHARE_PATIENCE: Duration = Duration::from_secs(15);

/// How often they are looked at.
const SHARE_POLL: Duration = Duration::from_millis(200);

/// How long the borrower's tasks would run, in milliseconds.
const BORROWER_RUN_MS: u64 = 60_000;

/// Lets another account's task run on a guaranteed share, has the owner take it back, and prints
/// how long that took.
///
/// # Errors
/// [`LocalError::NotReached`] when no share is free, or a step is refused.
pub async fn demonstrate_reclaim(system: &LocalSystem) -> Result<(), LocalError> {
    let (guard, share) = find_share(system).await?;
    let borrower = gang(1);
    let lent = share.accelerators.len();
    reserve(guard, borrower, &"borrower".into(), lent).await?;
    run_borrower(guard, borrower).await?;
    let owner = gang(2);
    let started = system.clock().now();
    reserve(guard, owner, &share.account, lent).await?;
    let took = system.clock().now().since(started);
    for gang in [owner, borrower] {
        let ownership = 1;
        call(guard, GangRequest::Release { gang, ownership }).await;
    }
    print_text(&format!(
        "{lent} accelerators guaranteed to {} were reclaimed from a running task in {took:?} \
         (bound {RECLAIM_BOUND:?})\n",
        share.account,
    ))?;
    Ok(())
}

/// Returns a guard with a share that nothing holds, and whose other accelerators are no use to a
/// borrower of that size.
async fn find_share(system: &LocalSystem) -> Result<(&RunningGuard, GuaranteedShare), LocalError> {
    let until = system.clock().now() + Millis::from(SHARE_PATIENCE);
    while system.clock().now() < until {
        for guard in system.guards() {
            let told = guard.guard().next_announcement(guard.address());
            let whole = told.accelerators_free == told.accelerators;
            let lent = |s: &&GuaranteedShare| s.accelerators == told.accelerators;
            if let Some(share) = told.guaranteed.iter().find(lent).filter(|_| whole) {
                return Ok((guard, share.clone()));
            }
        }
        system.clock().sleep(SHARE_POLL).await;
    }
    Err(LocalError::NotReached("no worker is guaranteed as a whole"))
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
    match call(guard, reserve.into()).await {
        GuardReply::Gang(GangReply::Reserved { .. }) => Ok(()),
        _ => Err(LocalError::NotReached("a share was not reserved")),
    }
}

/// Commits the borrower's gang and waits until its task runs.
async fn run_borrower(
    guard: &RunningGuard,
    gang: GangId,
) -> Result<(), LocalError> {
    let pieces = vec![PieceAddress {
        guard: guard.address(),
        members: vec![0],
    }];
    call(guard, CommitCall { gang, pieces }.into()).await;
    let watch = GangRequest::Watch {
        gang,
        known: Some(GangPhase::Starting),
        wait_ms: 5000,
    };
    match call(guard, watch).await {
        GuardReply::Gang(GangReply::State {
            phase: GangPhase::Running,
            ..
        }) => Ok(()),
        _ => Err(LocalError::NotReached("the borrower did not start")),
    }
}

async fn call(
    guard: &RunningGuard,
    req: GangRequest,
) -> GuardReply {
    let handler = guard.guard().clone();
    handler.handle(GuardRequest::Gang(req)).await
}

fn gang(job: u64) -> GangId {
    GangId {
        job: JobId(job),
        term: Term {
            ownership: 1,
            start: 1,
        },
    }
}
