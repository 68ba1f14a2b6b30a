//! Looks for entries that are not heard.

use {
    super::{Datagram, Membership},
    crate::prelude::*,
};

/// The pause between tries while no other entry is known.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The pause between tries when others are known.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Sends a heartbeat to one address after the other behind which an entry may be, for ever.
pub(super) async fn run_contacts(membership: Rc<Membership>) {
    loop {
        let now = membership.clock.now();
        let contacts = membership.entries.borrow().contacts(now);
        if !contacts.is_empty() {
            let contact = contacts[membership.random_below(contacts.len())];
            let datagram = Datagram::Heartbeats(vec![membership.own_row()]);
            membership.send(contact, None, &datagram).await;
        }
        keep_house(&membership, now);
        let alone = membership.entries.borrow().live_peers(now).is_empty();
        let interval = if alone {
            SEARCH_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        let pause = membership.jittered(interval);
        membership.clock.sleep(pause).await;
    }
}

/// Forgets what is no longer needed and shows what is known.
fn keep_house(
    membership: &Membership,
    now: Millis,
) {
    let mut entries = membership.entries.borrow_mut();
    entries.forget_silent(now);
    let live = entries.live(now).len();
    membership.metrics.live_entries.set(live as i64);
    let mut members = membership.members.borrow_mut();
    members.forget_silent(now);
    let live = members.live(now).len();
    membership.metrics.live_upstreams.set(live as i64);
    let watched = membership.watches.borrow().len();
    membership.metrics.watched_upstreams.set(watched as i64);
    membership.publication.borrow_mut().compact();
}
