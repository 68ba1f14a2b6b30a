//! Takes over what other entries tell.

use {
    super::{
        Datagram, Delta, EntryRow, HeartbeatOutcome, Membership, PublicationLag, ServingState,
        datagram::split_rows, membership::LEAVING_GRACE, peer_task::start_peer,
    },
    crate::prelude::*,
};

/// The most deltas that answer one ask.
const MAX_DELTAS_PER_REQUEST: usize = 16;

/// The shortest pause between two asks to an entry of the own region.
const REGION_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// The shortest pause between two asks to an entry of another region.
const REMOTE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

pub(super) async fn handle_heartbeats(
    membership: &Rc<Membership>,
    from: SocketAddr,
    rows: Vec<EntryRow>,
) {
    let mut remote = Vec::new();
    for row in rows {
        let now = membership.clock.now();
        let direct = from == row.address;
        let heard = membership
            .entries
            .borrow_mut()
            .apply_heartbeat(now, row.clone(), direct);
        if heard == HeartbeatOutcome::Stale {
            continue;
        }
        apply_publication_status(membership, &row).await;
        if heard == HeartbeatOutcome::Joined {
            membership.last_joined_at.set(Some(now));
            start_peer(membership, &row.name);
            if direct {
                send_live_entries(membership, &row).await;
            }
        }
        if membership.link_traffic.crosses(&row.region) {
            remote.push(row);
        }
    }
    if !remote.is_empty() && !is_in_region(membership, from) {
        relay_in_region(membership, &Datagram::Heartbeats(remote)).await;
    }
}

/// Takes over what an entry's heartbeat says of its publication.
async fn apply_publication_status(
    membership: &Membership,
    row: &EntryRow,
) {
    let now = membership.clock.now();
    if row.serving == ServingState::Leaving {
        let until = now + Millis::from(LEAVING_GRACE);
        let mut members = membership.members.borrow_mut();
        members.expire_publisher(&row.name, until);
        return;
    }
    let until = membership.entries.borrow().live_until(&row.name);
    let behind = membership
        .members
        .borrow_mut()
        .renew_publisher(now, row, until);
    if let Some(behind) = behind {
        request_deltas(membership, &row.name, behind).await;
    }
}

/// Tells an entry that has just been met of all live entries.
async fn send_live_entries(
    membership: &Membership,
    to: &EntryRow,
) {
    let own = membership.next_heartbeat();
    let now = membership.clock.now();
    let peers = membership.entries.borrow().live_peers(now);
    let mut rows = vec![own];
    rows.extend(
        peers
            .iter()
            .filter(|p| p.name != to.name)
            .map(|p| (**p).clone()),
    );
    for rows in split_rows(rows) {
        let datagram = Datagram::Heartbeats(rows);
        membership
            .send(to.address, Some(&to.region), &datagram)
            .await;
    }
}

pub(super) async fn handle_delta(
    membership: &Membership,
    delta: Delta,
) {
    if delta.relay {
        let delta = Delta {
            relay: false,
            ..delta.clone()
        };
        relay_in_region(membership, &Datagram::Delta(delta)).await;
    }
    let now = membership.clock.now();
    let publisher = delta.publisher.clone();
    let behind = membership.members.borrow_mut().apply_delta(now, delta);
    if let Some(behind) = behind {
        request_deltas(membership, &publisher, behind).await;
    }
}

async fn request_deltas(
    membership: &Membership,
    publisher: &EntryName,
    behind: PublicationLag,
) {
    let row = membership.entries.borrow().get(publisher);
    let Some(row) = row else {
        return;
    };
    let spacing = if membership.link_traffic.crosses(&row.region) {
        membership.jittered(REMOTE_REQUEST_INTERVAL)
    } else {
        REGION_REQUEST_INTERVAL
    };
    let now = membership.clock.now();
    let may_ask = membership
        .members
        .borrow_mut()
        .try_begin_request(now, publisher, spacing);
    if may_ask {
        let ask = Datagram::DeltaAsk {
            asker: membership.entries.borrow().own().name.clone(),
            incarnation: behind.incarnation,
            generation: behind.generation,
            have: behind.applied_change,
        };
        membership.send(row.address, Some(&row.region), &ask).await;
    }
}

/// Sends what an entry does not have; across the link only as far as the budget goes.
pub(super) async fn answer_delta_request(
    membership: &Membership,
    to: SocketAddr,
    asker: &EntryName,
    behind: PublicationLag,
) {
    let region = membership
        .entries
        .borrow()
        .get(asker)
        .map(|r| r.region.clone());
    let deltas = {
        let publication = membership.publication.borrow();
        let entries = membership.entries.borrow();
        let own = entries.own();
        let known = (own.incarnation, publication.version().generation);
        let same = (behind.incarnation, behind.generation) == known;
        let base = if same { behind.applied_change } else { 0 };
        publication.deltas_after(base, &own.name, own.incarnation)
    };
    let crosses = region
        .as_ref()
        .is_some_and(|r| membership.link_traffic.crosses(r));
    for delta in deltas.into_iter().take(MAX_DELTAS_PER_REQUEST) {
        let datagram = Datagram::Delta(delta);
        let bytes = postcard::to_stdvec(&datagram).map_or(0, |d| d.len());
        let now = membership.clock.now();
        if crosses && !membership.link_budget.try_spend(now, bytes) {
            return;
        }
        membership.send(to, region.as_ref(), &datagram).await;
    }
}

/// Passes a datagram on to the other entries of the own region.
async fn relay_in_region(
    membership: &Membership,
    datagram: &Datagram,
) {
    let now = membership.clock.now();
    let peers = membership.entries.borrow().live_peers(now);
    let own = membership.link_traffic.own_region();
    for peer in peers.iter().filter(|p| p.region == *own) {
        membership
            .send(peer.address, Some(&peer.region), datagram)
            .await;
    }
}

fn is_in_region(
    membership: &Membership,
    address: SocketAddr,
) -> bool {
    let now = membership.clock.now();
    let peers = membership.entries.borrow().live_peers(now);
    let own = membership.link_traffic.own_region();
    peers
        .iter()
        .any(|p| p.address == address && p.region == *own)
}
