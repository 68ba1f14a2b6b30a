//! Looks for entries that are not heard, and helps others to find each other.

use {
    super::{Datagram, EntryRow, Membership, datagram::split_rows},
    crate::prelude::*,
};

/// The pause between tries while no other entry is known or one has joined lately.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The pause between tries when nothing changes.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// How long an entry that has joined may still not know all others.
const FORMING_PERIOD: Duration = Duration::from_secs(10);

/// Tries one address after the other behind which an entry may be, and tells one entry after the
/// other of all that are known, for ever.
pub(super) async fn run_contacts(membership: Rc<Membership>) {
    loop {
        try_contact(&membership).await;
        send_known_entries(&membership).await;
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

/// Sends a heartbeat to an address behind which an entry may be that is not heard.
async fn try_contact(membership: &Membership) {
    let now = membership.clock.now();
    let contacts = membership.entries.borrow().contacts(now);
    if !contacts.is_empty() {
        let contact = contacts[membership.random_below(contacts.len())];
        let datagram = Datagram::Heartbeats(vec![membership.next_heartbeat()]);
        membership.send(contact, None, &datagram).await;
    }
}

/// Tells an entry of the own region of all live entries, since two that joined at the same time
/// may have missed each other.
async fn send_known_entries(membership: &Membership) {
    let now = membership.clock.now();
    let peers = membership.entries.borrow().live_peers(now);
    let own = membership.link_traffic.own_region();
    let near: Vec<&Rc<EntryRow>> = peers.iter().filter(|p| p.region == *own).collect();
    if near.is_empty() {
        return;
    }
    let to = near[membership.random_below(near.len())];
    let others = peers.iter().filter(|p| p.name != to.name);
    let rows: Vec<EntryRow> = others.map(|p| (**p).clone()).collect();
    for rows in split_rows(rows) {
        let datagram = Datagram::Heartbeats(rows);
        membership
            .send(to.address, Some(&to.region), &datagram)
            .await;
    }
}

/// Tells whether entries may not all know each other yet.
fn is_forming(membership: &Membership) -> bool {
    let now = membership.clock.now();
    let alone = membership.entries.borrow().live_peers(now).is_empty();
    let joined = membership.last_joined_at.get();
    alone || joined.is_some_and(|at| now.since(at) < FORMING_PERIOD)
}

/// Forgets what is no longer needed and shows what is known.
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
