//! Releases gangs whose job has ended and whose owner is no longer live.

use {
    super::Entry,
    crate::{
        connection::{GangId, GangRequest, GuardRequest},
        prelude::*,
        process::clock::with_timeout,
    },
    futures_util::future::join_all,
};

/// The interval between checks of the announcements for orphaned gangs.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The time within which a guard has to answer a release, which it does once the tasks have
/// stopped.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// Releases each orphaned gang whose job has ended; never returns.
pub async fn release_orphans(entry: Rc<Entry>) {
    loop {
        let releases = ended_orphans(&entry);
        let releases = releases
            .into_iter()
            .map(|(guard, gang)| release_gang(&entry, guard, gang));
        join_all(releases).await;
        entry.clock.sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the orphaned gangs whose job has ended, each with the address of its leader guard.
fn ended_orphans(entry: &Entry) -> Vec<(SocketAddr, GangId)> {
    let fold = entry.state.fold();
    let live = entry.members.borrow().live(entry.clock.now());
    let orphans = live
        .iter()
        .flat_map(|u| u.orphans.iter().map(|gang| (u.guard_address, *gang)));
    let ended = |gang: &GangId| fold.job(gang.job).is_some_and(|j| j.end.is_some());
    orphans.filter(|(_, gang)| ended(gang)).collect()
}

async fn release_gang(
    entry: &Entry,
    guard: SocketAddr,
    gang: GangId,
) {
    tracing::info!(%gang, %guard, "releasing a gang whose job has ended");
    let req = GangRequest::Release {
        gang,
        ownership: u32::MAX,
    };
    let peer = entry.dialer.peer(guard);
    let call = peer.call(GuardRequest::Gang(req));
    with_timeout(&*entry.clock, RELEASE_TIMEOUT, call).await;
}
