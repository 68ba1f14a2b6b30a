//! Handles the heartbeats and publications of other entries.

use {
    super::{
        Datagram, Delta, EntryRow, HeartbeatOutcome, Membership, PublicationLag, ServingState,
        datagram::split_rows, membership::LEAVING_GRACE, peer_task::start_peer,
    },
    crate::prelude::*,
};

/// The maximum number of deltas sent in answer to one request.
const MAX_DELTAS_PER_REQUEST: usize = 16;

/// The minimum interval between two delta requests to an entry of the own region.
const REGION_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// The mean minimum interval between two delta requests to an entry of another region.
const REMOTE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Applies the heartbeats of entries, and relays those of other regions within the own region.
pub(super) async fn handle_heartbeats(
    membership: &Rc<Membership>,
    from: SocketAddr,
    rows: Vec<EntryRow>,
) {
    let mut remote = Vec::new();
    for row in rows {
        let now = membership.clock.now();
        let direct = from == row.address;
        let outcome = membership
            .entries
            .borrow_mut()
            .apply_heartbeat(now, row.clone(), direct);
        if outcome == HeartbeatOutcome::Stale {
            continue;
        }
        apply_publication_status(membership, &row).await;
        if outcome == HeartbeatOutcome::Joined {
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

/// Renews or limits the lease of an entry's publication according to its heartbeat, and requests
/// missing changes.
async fn apply_publication_status(
    membership: &Membership,
    row: &EntryRow,
) {
    let now = membership.clock.now();
    if row.serving == ServingState::Leaving {
        let expires_at = now + Millis::from(LEAVING_GRACE);
        let mut members = membership.members.borrow_mut();
        members.expire_publisher(&row.name, expires_at);
        return;
    }
    let expires_at = membership.entries.borrow().live_until(&row.name);
    let lag = membership
        .members
        .borrow_mut()
        .renew_publisher(now, row, expires_at);
    if let Some(lag) = lag {
        request_deltas(membership, &row.name, lag).await;
    }
}

/// Sends the rows of all live entries to an entry that has just joined.
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

/// Applies a delta, relays it if requested, and requests missing changes.
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
    let lag = membership.members.borrow_mut().apply_delta(now, delta);
    if let Some(lag) = lag {
        request_deltas(membership, &publisher, lag).await;
    }
}

/// Requests missing changes from a publisher, at a limited rate.
async fn request_deltas(
    membership: &Membership,
    publisher: &EntryName,
    lag: PublicationLag,
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
    let may_request = membership
        .members
        .borrow_mut()
        .try_begin_request(now, publisher, spacing);
    if may_request {
        let request = Datagram::DeltaAsk {
            asker: membership.entries.borrow().own().name.clone(),
            incarnation: lag.incarnation,
            generation: lag.generation,
            have: lag.applied_change,
        };
        membership
            .send(row.address, Some(&row.region), &request)
            .await;
    }
}

/// Sends the changes that an entry lacks; across the link only as far as the byte budget allows.
pub(super) async fn answer_delta_request(
    membership: &Membership,
    to: SocketAddr,
    requester: &EntryName,
    lag: PublicationLag,
) {
    let region = membership
        .entries
        .borrow()
        .get(requester)
        .map(|r| r.region.clone());
    let deltas = {
        let publication = membership.publication.borrow();
        let entries = membership.entries.borrow();
        let own = entries.own();
        let known = (own.incarnation, publication.version().generation);
        let same = (lag.incarnation, lag.generation) == known;
        let base = if same { lag.applied_change } else { 0 };
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

/// Forwards a datagram to the other live entries of the own region.
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
