//! Watches one upstream for all entries.

use {
    super::{Datagram, Membership},
    crate::{
        prelude::*,
        process::{clock::with_timeout, task_group::TaskGroup},
    },
    event_listener::Event,
    std::cell::Cell,
};

/// How long an upstream may be silent before it is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(2500);

/// How often a suspected upstream is probed, itself and through other entries.
const PROBES: u32 = 5;

/// How long each probe waits for an answer.
const PROBE_WAIT: Duration = Duration::from_millis(300);

/// One watched upstream.
pub(super) struct Watch {
    heard: Event,
    last_heard: Cell<Millis>,
    address: Cell<SocketAddr>,
    offer: Cell<bool>,
    task: TaskGroup,
}

impl Watch {
    /// Notes when the upstream was heard.
    pub(super) fn note_heard(
        &self,
        at: Millis,
    ) {
        self.last_heard.set(self.last_heard.get().max(at));
        self.heard.notify(usize::MAX);
    }

    /// Returns for how long the upstream may still be silent.
    fn patience(
        &self,
        now: Millis,
    ) -> Duration {
        let suspected = self.last_heard.get() + Millis::from(SUSPECT_AFTER);
        suspected.since(now)
    }

    /// Tells the guard at its next announcement which entries may watch it, whatever it knows.
    pub(super) fn offer_candidates(&self) {
        self.offer.set(true);
    }

    /// Returns whether the candidates have to be told whatever the guard knows, once.
    pub(super) fn take_offer(&self) -> bool {
        self.offer.take()
    }

    /// Ends the watch.
    pub(super) fn end(&self) {
        self.task.cancel();
    }
}

/// Starts watching an upstream whose guard sends from `address`, or goes on doing so.
pub(super) fn watch(
    membership: &Rc<Membership>,
    upstream: &UpstreamName,
    address: SocketAddr,
) {
    let now = membership.clock.now();
    let known = membership.watches.borrow().get(upstream).cloned();
    if let Some(watch) = known {
        watch.address.set(address);
        watch.note_heard(now);
        return;
    }
    let watch = Rc::new(Watch {
        heard: Event::new(),
        last_heard: Cell::new(now),
        address: Cell::new(address),
        offer: Cell::new(false),
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

/// Waits for the upstream's announcements until it stays silent, then publishes that it is gone.
async fn run_watch(
    membership: Rc<Membership>,
    watch: Rc<Watch>,
    upstream: UpstreamName,
) {
    loop {
        let heard = watch.heard.listen();
        let patience = watch.patience(membership.clock.now());
        let waited = with_timeout(&*membership.clock, patience, heard).await;
        if waited.is_none() && !answers(&membership, &watch, &upstream).await {
            break;
        }
    }
    lose(&membership, &upstream);
    unwatch(&membership, &upstream);
}

/// Probes a suspected upstream, itself and through the other entries that may hear it.
async fn answers(
    membership: &Membership,
    watch: &Watch,
    upstream: &UpstreamName,
) -> bool {
    for _ in 0..PROBES {
        let heard = watch.heard.listen();
        let address = watch.address.get();
        membership.send(address, None, &Datagram::Probe).await;
        ask_others(membership, upstream).await;
        with_timeout(&*membership.clock, PROBE_WAIT, heard).await;
        if !watch.patience(membership.clock.now()).is_zero() {
            return true;
        }
    }
    false
}

/// Asks the other entries that may watch an upstream whether they have heard it.
async fn ask_others(
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

fn lose(
    membership: &Membership,
    upstream: &UpstreamName,
) {
    let now = membership.clock.now();
    let known = membership.members.borrow().latest(upstream);
    let Some(known) = known else {
        return;
    };
    tracing::warn!(%upstream, "an upstream was lost");
    membership.metrics.upstreams_lost.inc();
    membership.members.borrow_mut().lose(now, upstream);
    membership.publication.borrow_mut().lose(&known);
    membership.publish.notify(usize::MAX);
}
