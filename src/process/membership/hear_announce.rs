//! Takes over what guards announce.

use {
    super::{
        Announce, AnnounceAck, Announcement, Datagram, Membership, Pulse, ServingState,
        WatcherRole,
        entry_table::candidates_digest,
        publication::Urgency,
        watch_task::{unwatch, watch},
    },
    crate::prelude::*,
};

/// The shortest pause that a guard leaves between changes of load.
const MIN_LOAD_SPACING: Duration = Duration::from_millis(50);

/// The bytes a second that an entry receives of the loads of upstreams that it watches.
const LOAD_BYTES_PER_SECOND: u64 = 1800;

/// The bytes of a pulse with its headers.
const PULSE_BYTES: u64 = 64;

pub(super) async fn hear_announce(
    membership: &Rc<Membership>,
    from: SocketAddr,
    announce: Announce<Announcement>,
) {
    membership.metrics.announcements_received.inc();
    let announcement = announce.content;
    let pulse = announcement.pulse();
    if announce.role != WatcherRole::Seed {
        let now = membership.clock.now();
        let fresh = membership
            .members
            .borrow_mut()
            .hear(now, announcement.clone());
        if fresh {
            take_role(membership, from, &pulse, announce.role);
        }
        if announce.role != WatcherRole::Released {
            acknowledge(membership, from, &pulse, true).await;
        }
    }
    let place = (&announcement.region, &announcement.data_centre);
    offer_candidates(
        membership,
        from,
        &pulse,
        place,
        announce.role,
        announce.candidates,
    )
    .await;
}

pub(super) async fn hear_pulse(
    membership: &Rc<Membership>,
    from: SocketAddr,
    announce: Announce<Pulse>,
) {
    membership.metrics.announcements_received.inc();
    let pulse = announce.content;
    let now = membership.clock.now();
    let heard = membership.members.borrow_mut().hear_pulse(now, &pulse);
    if announce.role == WatcherRole::Released {
        if heard == Some(true) {
            take_role(membership, from, &pulse, announce.role);
        }
        return;
    }
    acknowledge(membership, from, &pulse, heard.is_some()).await;
    if heard != Some(true) {
        return;
    }
    take_role(membership, from, &pulse, announce.role);
    let known = membership.members.borrow().get(&pulse.upstream);
    if let Some(known) = known {
        let place = (&known.region, &known.data_centre);
        offer_candidates(
            membership,
            from,
            &pulse,
            place,
            announce.role,
            announce.candidates,
        )
        .await;
    }
}

/// Watches, stands by or stops doing so, as the guard has chosen.
fn take_role(
    membership: &Rc<Membership>,
    from: SocketAddr,
    pulse: &Pulse,
    role: WatcherRole,
) {
    let upstream = &pulse.upstream;
    let known = membership.members.borrow().latest(upstream);
    let Some(known) = known.filter(|k| k.incarnation == pulse.incarnation) else {
        return;
    };
    if known.serving == ServingState::Leaving {
        if membership.publication.borrow().has(upstream) {
            membership.publication.borrow_mut().lose(&known);
            membership.publish.notify(usize::MAX);
        }
        unwatch(membership, upstream);
        return;
    }
    if role == WatcherRole::Primary {
        watch(membership, upstream, from);
        let urgency = membership.publication.borrow_mut().publish(&known);
        if urgency == Urgency::Status {
            membership.publish.notify(usize::MAX);
        }
        return;
    }
    unwatch(membership, upstream);
    if membership.publication.borrow_mut().withdraw(upstream) {
        membership.publish.notify(usize::MAX);
    }
    if role == WatcherRole::Released {
        membership.members.borrow_mut().release(upstream);
    }
}

async fn acknowledge(
    membership: &Membership,
    from: SocketAddr,
    pulse: &Pulse,
    known: bool,
) {
    let watched = membership.watches.borrow().len() as u64;
    let spacing_ms = watched * PULSE_BYTES * 1000 / LOAD_BYTES_PER_SECOND;
    let spacing = Duration::from_millis(spacing_ms).max(MIN_LOAD_SPACING);
    let ack = AnnounceAck {
        sequence: pulse.sequence,
        known,
        load_spacing_ms: spacing.as_millis() as u32,
    };
    membership.send(from, None, &Datagram::Ack(ack)).await;
}

/// Tells a guard which entries may watch it, when it asks or knows others.
async fn offer_candidates(
    membership: &Membership,
    to: SocketAddr,
    pulse: &Pulse,
    place: (&Region, &DataCentre),
    role: WatcherRole,
    digest: u32,
) {
    let watch = membership.watches.borrow().get(&pulse.upstream).cloned();
    let forced = watch.is_some_and(|w| w.take_offer());
    let now = membership.clock.now();
    let candidates = membership
        .entries
        .borrow()
        .candidates(now, place.0, place.1);
    let wanted = matches!(role, WatcherRole::Primary | WatcherRole::Seed);
    let differs = candidates_digest(&candidates) != digest;
    if (wanted && differs || forced) && !candidates.is_empty() {
        let datagram = Datagram::Candidates(candidates);
        membership.send(to, Some(place.0), &datagram).await;
    }
}

/// Takes over that another entry has heard an upstream which this one watches.
pub(super) fn hear_through_other(
    membership: &Membership,
    pulse: &Pulse,
    age_ms: u32,
) {
    let now = membership.clock.now();
    let heard = membership.members.borrow_mut().hear_pulse(now, pulse);
    let watch = membership.watches.borrow().get(&pulse.upstream).cloned();
    if let Some(watch) = watch
        && heard == Some(true)
    {
        let age_ms = u64::from(age_ms);
        watch.note_heard(Millis(now.0.saturating_sub(age_ms)));
    }
}

pub(super) async fn answer_heard_ask(
    membership: &Membership,
    from: SocketAddr,
    upstream: &UpstreamName,
) {
    let now = membership.clock.now();
    let heard = membership.members.borrow().heard_directly(now, upstream);
    if let Some((heard, at)) = heard {
        let datagram = Datagram::Heard {
            pulse: heard.pulse(),
            age_ms: now.since(at).as_millis() as u32,
        };
        membership.send(from, None, &datagram).await;
    }
}
