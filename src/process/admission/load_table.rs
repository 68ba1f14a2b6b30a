//! Tracks the load and health of upstreams, as seen by one entry.

use {
    super::{OutlierDetector, OwnSlots},
    crate::{
        prelude::*,
        process::membership::Announcement,
        request::{Health, UpstreamLoad},
    },
    std::collections::BTreeMap,
};

/// Share of upstreams ejected or on trial above which ejections are ignored (panic mode).
const PANIC_THRESHOLD: f64 = 0.5;

/// Load and health of one upstream.
#[derive(Clone, Debug, Default)]
struct TrackedUpstream {
    incarnation: u64,
    sequence: u64,
    /// Slots that other entries use, as of the announcement with `sequence`.
    others_in_use: u32,
    own_slots: OwnSlots,
    full_until: Millis,
    detector: OutlierDetector,
}

/// Loads of all upstreams. Announcements may be old, so they supply only the slots that other
/// entries use; the entry counts its own slots itself.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    upstreams: BTreeMap<UpstreamName, TrackedUpstream>,
    in_panic_mode: bool,
}

impl LoadTable {
    /// Returns the load of an upstream at `now`.
    pub fn load_of(
        &self,
        now: Millis,
        upstream: &Announcement,
    ) -> UpstreamLoad {
        let Some(tracked) = self.upstreams.get(&upstream.upstream) else {
            return UpstreamLoad {
                slots_in_use: upstream.slots_in_use,
                slowness: 1.0,
                health: Health::Healthy,
            };
        };
        let slots_in_use = if now < tracked.full_until {
            upstream.slots
        } else {
            tracked.others_in_use + tracked.own_slots.count
        };
        let health = match tracked.detector.health(now) {
            _ if self.in_panic_mode => Health::Healthy,
            health => health,
        };
        UpstreamLoad {
            slots_in_use,
            slowness: tracked.detector.routing_slowness(now),
            health,
        }
    }

    /// Enters panic mode if too many live upstreams are ejected or on trial, otherwise leaves it.
    pub fn update_panic_mode(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        let tracked = live.iter().filter_map(|u| self.upstreams.get(&u.upstream));
        let unhealthy = tracked.filter(|r| r.detector.health(now) != Health::Healthy);
        self.in_panic_mode = unhealthy.count() as f64 > PANIC_THRESHOLD * live.len() as f64;
    }

    /// Returns whether ejections are ignored.
    pub fn is_in_panic_mode(&self) -> bool {
        self.in_panic_mode
    }

    /// Updates the tracked upstreams from their latest announcements.
    pub fn apply_announcements(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        for upstream in live {
            if let Some(tracked) = self.upstreams.get_mut(&upstream.upstream) {
                tracked.apply_announcement(now, upstream);
            }
        }
    }

    /// Counts a slot as used by this entry.
    pub fn acquire_slot(
        &mut self,
        now: Millis,
        upstream: &Announcement,
    ) {
        let tracked = self.upstreams.entry(upstream.upstream.clone());
        let tracked = tracked.or_insert_with(|| TrackedUpstream {
            incarnation: upstream.incarnation,
            sequence: upstream.sequence,
            others_in_use: upstream.slots_in_use,
            ..TrackedUpstream::default()
        });
        tracked.own_slots.set(now, tracked.own_slots.count + 1);
    }

    /// Counts a slot as released by this entry.
    pub fn release_slot(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(upstream) {
            tracked
                .own_slots
                .set(now, tracked.own_slots.count.saturating_sub(1));
        }
    }

    /// Marks an upstream as full until `until`, because its guard refused a request.
    pub fn mark_full(
        &mut self,
        upstream: &UpstreamName,
        until: Millis,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(upstream) {
            tracked.full_until = until;
        }
    }

    /// Records an answer that took `ratio` times the mean of its kind.
    pub fn record_answer(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
        ratio: f64,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(upstream) {
            tracked.detector.record_answer(now, ratio);
        }
    }

    /// Records a failure; returns whether it ejected the upstream.
    pub fn record_failure(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) -> bool {
        let peers = self.upstreams.iter().filter(|(name, _)| *name != upstream);
        let peers: Vec<f64> = peers
            .filter_map(|(_, r)| r.detector.failure_share())
            .collect();
        let peer_share = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        let tracked = self.upstreams.get_mut(upstream);
        tracked.is_some_and(|r| r.detector.record_failure(now, peer_share))
    }
}

impl TrackedUpstream {
    /// Applies an announcement that was not applied before. A restarted upstream gets a new outlier
    /// detector. Slots that this entry used recently may be among the announced ones, so their peak
    /// is subtracted.
    fn apply_announcement(
        &mut self,
        now: Millis,
        upstream: &Announcement,
    ) {
        if self.incarnation == upstream.incarnation && self.sequence == upstream.sequence {
            return;
        }
        if self.incarnation != upstream.incarnation {
            self.detector = OutlierDetector::default();
        }
        self.incarnation = upstream.incarnation;
        self.sequence = upstream.sequence;
        self.others_in_use = upstream
            .slots_in_use
            .saturating_sub(self.own_slots.peak(now));
        self.full_until = Millis::default();
    }
}
