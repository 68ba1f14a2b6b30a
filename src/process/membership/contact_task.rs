//! Searches for unreachable entries, and spreads the live ones within the region.

use {
    super::{Datagram, EntryRow, Membership, datagram::split_rows},
    crate::prelude::*,
};

/// The interval between rounds while no other entry is live or one has joined recently.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between rounds otherwise.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// The time after an entry has joined during which some entries may not know each other yet.
const FORMING_PERIOD: Duration = Duration::from_secs(10);

/// In each round contacts one random unreachable address, sends all live entries to one random
/// entry of the own region, and runs the maintenance. Never returns.
pub(super) async fn run_contacts(membership: Rc<Membership>) {
    loop {
        try_contact(&membership).await;
        spread_live_entries(&membership).await;
        run_maintenance(&membership);
        let interval = if is_forming(&membership) {
            SEARCH_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        let pause = membership.jittered(interval);
        membership.clock.sleep(pause).await;
    }
}

/// Sends a heartbeat to a random address at which an unreachable entry may be.
async fn try_contact(membership: &Membership) {
    let now = membership.clock.now();
    let contacts = membership.entries.borrow().contacts(now);
    if !contacts.is_empty() {
        let contact = contacts[membership.random_below(contacts.len())];
        let datagram = Datagram::Heartbeats(vec![membership.next_heartbeat()]);
        membership.send(contact, None, &datagram).await;
    }
}

/// Sends the rows of all live entries to a random entry of the own region, since two that joined at
/// the same time may have missed each other.
async fn spread_live_entries(membership: &Membership) {
    let now = membership.clock.now();
    let peers = membership.entries.borrow().live_peers(now);
    let own = membership.link_traffic.own_region();
    let in_region: Vec<&Rc<EntryRow>> = peers.iter().filter(|p| p.region == *own).collect();
    if in_region.is_empty() {
        return;
    }
    let to = in_region[membership.random_below(in_region.len())];
    let others = peers.iter().filter(|p| p.name != to.name);
    let rows: Vec<EntryRow> = others.map(|p| (**p).clone()).collect();
    for rows in split_rows(rows) {
        let datagram = Datagram::Heartbeats(rows);
        membership
            .send(to.address, Some(&to.region), &datagram)
            .await;
    }
}

/// Returns whether some entries may not know each other yet.
fn is_forming(membership: &Membership) -> bool {
    let now = membership.clock.now();
    let alone = membership.entries.borrow().live_peers(now).is_empty();
    let joined = membership.last_joined_at.get();
    alone || joined.is_some_and(|at| now.since(at) < FORMING_PERIOD)
}

/// Removes expired records, compacts the publication and updates the gauges.
fn run_maintenance(membership: &Membership) {
    let now = membership.clock.now();
    let mut entries = membership.entries.borrow_mut();
    entries.remove_expired(now);
    let live = entries.live(now).len();
    membership.metrics.live_entries.set(live as i64);
    let mut members = membership.members.borrow_mut();
    members.remove_expired(now);
    let live = members.live(now).len();
    membership.metrics.live_upstreams.set(live as i64);
    let watched = membership.watches.borrow().len();
    membership.metrics.watched_upstreams.set(watched as i64);
    membership.publication.borrow_mut().compact();
}
