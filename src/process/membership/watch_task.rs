//! Failure detection for one upstream on behalf of all entries.
//!
//! An upstream without announcements is suspected and probed, directly and through other entries.
//! If no probe succeeds, its loss is published.

use {
    super::{Datagram, Membership},
    crate::{
        prelude::*,
        process::{clock::with_timeout, task_group::TaskGroup},
    },
    event_listener::Event,
    std::cell::Cell,
};

/// The time without an announcement after which an upstream is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(2500);

/// The number of times that a suspected upstream is probed, directly and through other entries.
const MAX_PROBES: u32 = 5;

/// How long to wait for an answer to each probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// One watched upstream.
pub(super) struct Watch {
    announced: Event,
    last_announced_at: Cell<Millis>,
    address: Cell<SocketAddr>,
    offer_pending: Cell<bool>,
    task: TaskGroup,
}

impl Watch {
    /// Records the time of an announcement.
    pub(super) fn record_announcement(
        &self,
        at: Millis,
    ) {
        self.last_announced_at
            .set(self.last_announced_at.get().max(at));
        self.announced.notify(usize::MAX);
    }

    /// Returns the remaining time until the upstream is suspected.
    fn time_to_suspicion(
        &self,
        now: Millis,
    ) -> Duration {
        let suspected = self.last_announced_at.get() + Millis::from(SUSPECT_AFTER);
        suspected.since(now)
    }

    /// Schedules the candidates to be sent at the guard's next announcement, even if it knows them.
    pub(super) fn schedule_candidates_offer(&self) {
        self.offer_pending.set(true);
    }

    /// Returns whether an offer of candidates is scheduled, and clears the schedule.
    pub(super) fn take_offer(&self) -> bool {
        self.offer_pending.take()
    }

    /// Cancels the task.
    pub(super) fn end(&self) {
        self.task.cancel();
    }
}

/// Starts watching an upstream whose guard sends from `address`, or records the announcement if it
/// is already watched.
pub(super) fn watch(
    membership: &Rc<Membership>,
    upstream: &UpstreamName,
    address: SocketAddr,
) {
    let now = membership.clock.now();
    let known = membership.watches.borrow().get(upstream).cloned();
    if let Some(watch) = known {
        watch.address.set(address);
        watch.record_announcement(now);
        return;
    }
    let watch = Rc::new(Watch {
        announced: Event::new(),
        last_announced_at: Cell::new(now),
        address: Cell::new(address),
        offer_pending: Cell::new(false),
        task: TaskGroup::default(),
    });
    let task = run_watch(membership.clone(), watch.clone(), upstream.clone());
    watch.task.spawn(task);
    membership
        .watches
        .borrow_mut()
        .insert(upstream.clone(), watch);
}

/// Stops watching an upstream.
pub(super) fn unwatch(
    membership: &Membership,
    upstream: &UpstreamName,
) {
    let watch = membership.watches.borrow_mut().remove(upstream);
    if let Some(watch) = watch {
        watch.end();
    }
}

/// Waits for announcements until the upstream no longer responds, then publishes its loss.
async fn run_watch(
    membership: Rc<Membership>,
    watch: Rc<Watch>,
    upstream: UpstreamName,
) {
    loop {
        let announced = watch.announced.listen();
        let remaining = watch.time_to_suspicion(membership.clock.now());
        let waited = with_timeout(&*membership.clock, remaining, announced).await;
        if waited.is_none() && !responds_to_probes(&membership, &watch, &upstream).await {
            break;
        }
    }
    publish_loss(&membership, &upstream);
    unwatch(&membership, &upstream);
}

/// Probes a suspected upstream, directly and through the other entries that may watch it. Returns
/// whether an announcement recent enough arrived.
async fn responds_to_probes(
    membership: &Membership,
    watch: &Watch,
    upstream: &UpstreamName,
) -> bool {
    for _ in 0..MAX_PROBES {
        let announced = watch.announced.listen();
        let address = watch.address.get();
        membership.send(address, None, &Datagram::Probe).await;
        query_other_entries(membership, upstream).await;
        with_timeout(&*membership.clock, PROBE_TIMEOUT, announced).await;
        if !watch.time_to_suspicion(membership.clock.now()).is_zero() {
            return true;
        }
    }
    false
}

/// Asks the other entries that may watch an upstream whether they have a recent announcement.
async fn query_other_entries(
    membership: &Membership,
    upstream: &UpstreamName,
) {
    let known = membership.members.borrow().get(upstream);
    let Some(known) = known else {
        return;
    };
    let candidates = {
        let entries = membership.entries.borrow();
        let now = membership.clock.now();
        let mut candidates = entries.candidates(now, &known.region, &known.data_centre);
        candidates.retain(|c| c.name != entries.own().name);
        candidates
    };
    for candidate in candidates {
        let upstream = upstream.clone();
        let datagram = Datagram::HeardAsk { upstream };
        membership
            .send(candidate.address, Some(&candidate.region), &datagram)
            .await;
    }
}

fn publish_loss(
    membership: &Membership,
    upstream: &UpstreamName,
) {
    let now = membership.clock.now();
    let known = membership.members.borrow().latest(upstream);
    let Some(known) = known else {
        return;
    };
    tracing::warn!(%upstream, "upstream lost");
    membership.metrics.upstreams_lost.inc();
    membership.members.borrow_mut().mark_lost(now, upstream);
    membership
        .publication
        .borrow_mut()
        .publish_departure(&known);
    membership.publication_changed.notify(usize::MAX);
}
