//! Sends heartbeats to one other entry while it is reachable.

use {
    super::{Datagram, EntryRow, Membership, datagram::split_rows},
    crate::{
        prelude::*,
        process::{clock::with_timeout, task_group::TaskGroup},
    },
};

/// The mean interval between heartbeats to an entry of the own region.
const REGION_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The mean interval between heartbeats to an entry of another region.
const REMOTE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(3);

/// The number of entries of another region that receive the heartbeats of a data centre.
const GATEWAY_COUNT: usize = 2;

/// Starts the heartbeat task for an entry that was not known to be live.
pub(super) fn start_peer(
    membership: &Rc<Membership>,
    peer: &EntryName,
) {
    let group = TaskGroup::default();
    group.spawn(run_peer(membership.clone(), peer.clone()));
    let mut peers = membership.peers.borrow_mut();
    peers.insert(peer.clone(), group);
}

/// Sends heartbeats to an entry until it is no longer reachable.
async fn run_peer(
    membership: Rc<Membership>,
    peer: EntryName,
) {
    loop {
        let now = membership.clock.now();
        let Some(row) = membership.entries.borrow().reachable(now, &peer) else {
            return;
        };
        let row_changed = membership.row_changed.listen();
        let in_region = row.region == *membership.link_traffic.own_region();
        let rows = if in_region {
            vec![membership.next_heartbeat()]
        } else {
            rows_for_gateway(&membership, &row)
        };
        for rows in split_rows(rows) {
            let datagram = Datagram::Heartbeats(rows);
            membership
                .send(row.address, Some(&row.region), &datagram)
                .await;
        }
        let interval = if in_region {
            REGION_HEARTBEAT_INTERVAL
        } else {
            REMOTE_HEARTBEAT_INTERVAL
        };
        let pause = membership.jittered(interval);
        with_timeout(&*membership.clock, pause, row_changed).await;
    }
}

/// Returns the rows of the own data centre if this entry is its representative and the other one is
/// a gateway of its region, and otherwise no rows.
fn rows_for_gateway(
    membership: &Membership,
    peer: &EntryRow,
) -> Vec<EntryRow> {
    let now = membership.clock.now();
    membership.next_heartbeat();
    let entries = membership.entries.borrow();
    let key = entries.own().data_centre.as_str();
    let gateways = entries.ranked(now, &peer.region, key);
    let mut gateways = gateways.iter().take(GATEWAY_COUNT);
    let is_gateway = gateways.any(|g| g.name == peer.name);
    if is_gateway && entries.is_representative(now) {
        entries.data_centre_rows(now)
    } else {
        Vec::new()
    }
}
