//! Sends the changes of this entry's publication to the other entries.

use {
    super::Datagram,
    super::{Delta, Membership},
    crate::{prelude::*, process::clock::with_timeout},
};

/// The delay in which changes are batched before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// The minimum mean interval between two transmissions of loads.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// The target rate of load rows that an entry receives from all other entries, in bytes per second.
const LOAD_BYTES_PER_SECOND: u64 = 800;

/// The size of one upstream's load in a delta, in bytes.
const LOAD_ROW_BYTES: u64 = 32;

/// How long after a transmission its changes are repeated with the next one, in case it was lost.
const REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// Sends changes of status as they occur, and changes of load at intervals. Never returns.
pub(super) async fn run_publishing(membership: Rc<Membership>) {
    let mut progress = SendProgress::default();
    let mut loads_due = membership.clock.now();
    loop {
        let changed = membership.publication_changed.listen();
        let now = membership.clock.now();
        if now >= loads_due {
            membership.publication.borrow_mut().publish_pending_loads();
            loads_due = now + Millis::from(membership.widely_jittered(load_interval(&membership)));
        }
        for delta in progress.next_deltas(&membership) {
            send_delta(&membership, delta).await;
        }
        let pause = loads_due.since(membership.clock.now());
        if with_timeout(&*membership.clock, pause, changed)
            .await
            .is_some()
        {
            membership.clock.sleep(BATCH_DELAY).await;
        }
    }
}

/// The range of changes that were sent.
#[derive(Default)]
struct SendProgress {
    generation: u32,
    /// The last change of the transmission before the last one.
    previous_upto: u64,
    /// The last change that was sent.
    upto: u64,
    sent_at: Millis,
}

impl SendProgress {
    /// Returns the deltas to send now. They repeat the last transmission if it was recent, for
    /// entries that missed it.
    fn next_deltas(
        &mut self,
        membership: &Membership,
    ) -> Vec<Delta> {
        let publication = membership.publication.borrow();
        let version = publication.version();
        let now = membership.clock.now();
        if version.generation != self.generation {
            *self = Self {
                generation: version.generation,
                ..Self::default()
            };
        }
        if version.change == self.upto {
            return Vec::new();
        }
        let repeat = now.since(self.sent_at) < REPEAT_WINDOW;
        let base = if repeat {
            self.previous_upto
        } else {
            self.upto
        };
        self.previous_upto = self.upto;
        self.upto = version.change;
        self.sent_at = now;
        let entries = membership.entries.borrow();
        let own = entries.own();
        publication.deltas_after(base, &own.name, own.incarnation)
    }
}

/// Sends a delta to each entry of the own region, and to one entry of each other region, which
/// relays it.
async fn send_delta(
    membership: &Membership,
    delta: Delta,
) {
    let now = membership.clock.now();
    let peers = membership.entries.borrow().live_peers(now);
    let own = membership.link_traffic.own_region();
    let mut gateways = Vec::new();
    for peer in peers.iter().filter(|p| p.region != *own) {
        let entries = membership.entries.borrow();
        let ranked = entries.ranked(now, &peer.region, delta.publisher.as_str());
        if ranked.first().is_some_and(|g| g.name == peer.name) {
            gateways.push(peer.clone());
        }
    }
    let datagram = Datagram::Delta(delta.clone());
    for peer in peers.iter().filter(|p| p.region == *own) {
        membership
            .send(peer.address, Some(&peer.region), &datagram)
            .await;
    }
    let relayed = Datagram::Delta(Delta {
        relay: true,
        ..delta
    });
    for gateway in gateways {
        membership
            .send(gateway.address, Some(&gateway.region), &relayed)
            .await;
    }
}

fn load_interval(membership: &Membership) -> Duration {
    let now = membership.clock.now();
    let upstreams = membership.members.borrow().live(now).len();
    load_interval_of(upstreams as u64)
}

/// Returns the mean interval between transmissions of loads, which grows with the number of
/// upstreams.
pub(crate) fn load_interval_of(upstreams: u64) -> Duration {
    let paced = Duration::from_millis(upstreams * LOAD_ROW_BYTES * 1000 / LOAD_BYTES_PER_SECOND);
    paced.max(MIN_LOAD_INTERVAL)
}
