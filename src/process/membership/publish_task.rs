//! Sends what this entry publishes to the other entries.

use {
    super::Datagram,
    super::{Delta, Membership},
    crate::{prelude::*, process::clock::with_timeout},
};

/// The pause in which changes are gathered before they are sent.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// The shortest pause between two sendings of loads.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// The bytes a second that an entry receives of others' loads.
const LOAD_BYTES_PER_SECOND: u64 = 800;

/// The bytes of one upstream's load in a delta.
const LOAD_ROW_BYTES: u64 = 32;

/// How long the last sending is sent again along with the next one.
const REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// Sends changes as they come, and loads at intervals, for ever.
pub(super) async fn run_publishing(membership: Rc<Membership>) {
    let mut sent = SendProgress::default();
    let mut loads_due = membership.clock.now();
    loop {
        let changed = membership.publication_changed.listen();
        let now = membership.clock.now();
        if now >= loads_due {
            membership.publication.borrow_mut().publish_pending_loads();
            loads_due = now + Millis::from(membership.widely_jittered(load_interval(&membership)));
        }
        for delta in sent.next_deltas(&membership) {
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

/// Which changes were sent.
#[derive(Default)]
struct SendProgress {
    generation: u32,
    previous_upto: u64,
    upto: u64,
    sent_at: Millis,
}

impl SendProgress {
    /// Returns the deltas to send now; the last sending is repeated when it was a moment ago, for
    /// those who have missed it.
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

/// Sends a delta to each entry of the own region, and to one of each other region, which passes
/// it on.
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

/// Returns the mean pause between sendings of loads, which grows with the fleet.
pub(crate) fn load_interval_of(upstreams: u64) -> Duration {
    let paced = Duration::from_millis(upstreams * LOAD_ROW_BYTES * 1000 / LOAD_BYTES_PER_SECOND);
    paced.max(MIN_LOAD_INTERVAL)
}
