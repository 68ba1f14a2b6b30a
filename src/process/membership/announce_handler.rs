//! Handles the announcements of guards.

use {
    super::{
        Announce, AnnounceAck, Announcement, Datagram, Membership, ServingState, UpstreamHeartbeat,
        WatcherRole,
        entry_table::candidates_digest,
        publication::Urgency,
        watch_task::{unwatch, watch},
    },
    crate::prelude::*,
};

/// The minimum spacing of load announcements that is requested from a guard.
const MIN_LOAD_SPACING: Duration = Duration::from_millis(50);

/// The target rate of load announcements that an entry receives from all upstreams that it watches,
/// in bytes per second.
const LOAD_BYTES_PER_SECOND: u64 = 1800;

/// The size of a heartbeat with its headers, in bytes.
const HEARTBEAT_BYTES: u64 = 64;

/// Handles a full announcement.
pub(super) async fn handle_announce(
    membership: &Rc<Membership>,
    from: SocketAddr,
    announce: Announce<Announcement>,
) {
    membership.metrics.announcements_received.inc();
    let announcement = announce.content;
    let heartbeat = announcement.heartbeat();
    if announce.role != WatcherRole::Seed {
        let now = membership.clock.now();
        let applied = membership
            .members
            .borrow_mut()
            .apply_announcement(now, announcement.clone());
        if applied {
            apply_role(membership, from, &heartbeat, announce.role);
        }
        if announce.role != WatcherRole::Released {
            acknowledge(membership, from, &heartbeat, true).await;
        }
    }
    let place = (&announcement.region, &announcement.data_centre);
    send_candidates(
        membership,
        from,
        &heartbeat,
        place,
        announce.role,
        announce.candidates,
    )
    .await;
}

/// Handles a heartbeat of an upstream.
pub(super) async fn handle_heartbeat(
    membership: &Rc<Membership>,
    from: SocketAddr,
    announce: Announce<UpstreamHeartbeat>,
) {
    membership.metrics.announcements_received.inc();
    let heartbeat = announce.content;
    let now = membership.clock.now();
    let applied = membership
        .members
        .borrow_mut()
        .apply_heartbeat(now, &heartbeat);
    if announce.role == WatcherRole::Released {
        if applied == Some(true) {
            apply_role(membership, from, &heartbeat, announce.role);
        }
        return;
    }
    acknowledge(membership, from, &heartbeat, applied.is_some()).await;
    if applied != Some(true) {
        return;
    }
    apply_role(membership, from, &heartbeat, announce.role);
    let known = membership.members.borrow().get(&heartbeat.upstream);
    if let Some(known) = known {
        let place = (&known.region, &known.data_centre);
        send_candidates(
            membership,
            from,
            &heartbeat,
            place,
            announce.role,
            announce.candidates,
        )
        .await;
    }
}

/// Starts or stops watching and publishing the upstream according to the role that its guard chose,
/// and publishes the departure of an upstream that leaves.
fn apply_role(
    membership: &Rc<Membership>,
    from: SocketAddr,
    heartbeat: &UpstreamHeartbeat,
    role: WatcherRole,
) {
    let upstream = &heartbeat.upstream;
    let known = membership.members.borrow().latest(upstream);
    let Some(known) = known.filter(|k| k.incarnation == heartbeat.incarnation) else {
        return;
    };
    if known.serving == ServingState::Leaving {
        if membership.publication.borrow().is_published(upstream) {
            membership
                .publication
                .borrow_mut()
                .publish_departure(&known);
            membership.publication_changed.notify(usize::MAX);
        }
        unwatch(membership, upstream);
        return;
    }
    if role == WatcherRole::Primary {
        watch(membership, upstream, from);
        let urgency = membership.publication.borrow_mut().publish(&known);
        if urgency == Urgency::Status {
            membership.publication_changed.notify(usize::MAX);
        }
        return;
    }
    unwatch(membership, upstream);
    if membership.publication.borrow_mut().withdraw(upstream) {
        membership.publication_changed.notify(usize::MAX);
    }
    if role == WatcherRole::Released {
        membership.members.borrow_mut().end_direct_lease(upstream);
    }
}

/// Acknowledges an announcement and requests a load spacing that grows with the number of watched
/// upstreams.
async fn acknowledge(
    membership: &Membership,
    from: SocketAddr,
    heartbeat: &UpstreamHeartbeat,
    known: bool,
) {
    let watched = membership.watches.borrow().len() as u64;
    let spacing_ms = watched * HEARTBEAT_BYTES * 1000 / LOAD_BYTES_PER_SECOND;
    let spacing = Duration::from_millis(spacing_ms).max(MIN_LOAD_SPACING);
    let ack = AnnounceAck {
        sequence: heartbeat.sequence,
        known,
        load_spacing_ms: spacing.as_millis() as u32,
    };
    membership.send(from, None, &Datagram::Ack(ack)).await;
}

/// Sends a guard its candidate watchers if the primary watcher or a seed sees that the guard knows
/// others, or if an offer is scheduled.
async fn send_candidates(
    membership: &Membership,
    to: SocketAddr,
    heartbeat: &UpstreamHeartbeat,
    place: (&Region, &DataCentre),
    role: WatcherRole,
    digest: u32,
) {
    let watch = membership
        .watches
        .borrow()
        .get(&heartbeat.upstream)
        .cloned();
    let is_scheduled = watch.is_some_and(|w| w.take_offer());
    let now = membership.clock.now();
    let candidates = membership
        .entries
        .borrow()
        .candidates(now, place.0, place.1);
    let wanted = matches!(role, WatcherRole::Primary | WatcherRole::Seed);
    let differs = candidates_digest(&candidates) != digest;
    if (wanted && differs || is_scheduled) && !candidates.is_empty() {
        let datagram = Datagram::Candidates(candidates);
        membership.send(to, Some(place.0), &datagram).await;
    }
}

/// Applies a recent heartbeat that another entry received from an upstream which this one watches.
pub(super) fn handle_heard(
    membership: &Membership,
    heartbeat: &UpstreamHeartbeat,
    age_ms: u32,
) {
    let now = membership.clock.now();
    let applied = membership
        .members
        .borrow_mut()
        .apply_heartbeat(now, heartbeat);
    let watch = membership
        .watches
        .borrow()
        .get(&heartbeat.upstream)
        .cloned();
    if let Some(watch) = watch
        && applied == Some(true)
    {
        let age_ms = u64::from(age_ms);
        watch.record_announcement(Millis(now.0.saturating_sub(age_ms)));
    }
}

/// Answers another entry with the last heartbeat of an upstream if it announces itself to this one.
pub(super) async fn answer_heard_query(
    membership: &Membership,
    from: SocketAddr,
    upstream: &UpstreamName,
) {
    let now = membership.clock.now();
    let direct = membership
        .members
        .borrow()
        .direct_announcement(now, upstream);
    if let Some((announcement, received_at)) = direct {
        let datagram = Datagram::Heard {
            pulse: announcement.heartbeat(),
            age_ms: now.since(received_at).as_millis() as u32,
        };
        membership.send(from, None, &datagram).await;
    }
}
