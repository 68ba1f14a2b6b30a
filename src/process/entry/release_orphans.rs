//! Releases gangs whose job has ended and whose owner is gone.

use {
    super::Entry,
    crate::{
        connection::{GangId, GangRequest, GuardRequest},
        prelude::*,
        process::clock::with_timeout,
    },
    futures_util::future::join_all,
};

/// How often announcements are looked at for such gangs.
const ORPHAN_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time that a release may take; the guard waits for the tasks' stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(7);

/// Releases every announced gang whose job has ended, for ever.
pub async fn release_orphans(entry: Rc<Entry>) {
    loop {
        let releases = ended_orphans(&entry);
        let releases = releases
            .into_iter()
            .map(|(guard, gang)| release(&entry, guard, gang));
        join_all(releases).await;
        entry.clock.sleep(ORPHAN_INTERVAL).await;
    }
}

/// Returns the announced gangs whose job has ended, with their lead guards.
fn ended_orphans(entry: &Entry) -> Vec<(SocketAddr, GangId)> {
    let fold = entry.state.fold();
    let live = entry.members.borrow().live(entry.clock.now());
    let orphans = live
        .iter()
        .flat_map(|u| u.orphans.iter().map(|gang| (u.guard_address, *gang)));
    let ended = |gang: &GangId| fold.job(gang.job).is_some_and(|j| j.end.is_some());
    orphans.filter(|(_, gang)| ended(gang)).collect()
}

async fn release(
    entry: &Entry,
    guard: SocketAddr,
    gang: GangId,
) {
    tracing::info!(%gang, %guard, "a gang that outlived its job is released");
    let req = GangRequest::Release {
        gang,
        ownership: u32::MAX,
    };
    let peer = entry.dialer.peer(guard);
    let call = peer.call(GuardRequest::Gang(req));
    with_timeout(&*entry.clock, RELEASE_TIMEOUT, call).await;
}
