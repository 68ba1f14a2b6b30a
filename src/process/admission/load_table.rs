//! What an entry knows of the load of upstreams.

use {
    super::{OutlierDetector, OwnSlots},
    crate::{
        prelude::*,
        process::membership::Announcement,
        request::{Health, UpstreamLoad},
    },
    std::collections::BTreeMap,
};

/// The share of upstreams out of use above which ejections are passed over (the panic rule).
const PANIC_THRESHOLD: f64 = 0.5;

/// What is known of one upstream.
#[derive(Clone, Debug, Default)]
struct TrackedUpstream {
    incarnation: u64,
    sequence: u64,
    /// The slots that others have in use, as of that announcement.
    others_in_use: u32,
    own_slots: OwnSlots,
    full_until: Millis,
    detector: OutlierDetector,
}

/// The loads of all upstreams. Announcements may be old, so only what others hold is taken from
/// them; what this entry holds it knows.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    upstreams: BTreeMap<UpstreamName, TrackedUpstream>,
    in_panic_mode: bool,
}

impl LoadTable {
    /// Returns the load of an upstream.
    pub fn load_of(
        &self,
        now: Millis,
        upstream: &Announcement,
    ) -> UpstreamLoad {
        let Some(record) = self.upstreams.get(&upstream.upstream) else {
            return UpstreamLoad {
                slots_in_use: upstream.slots_in_use,
                slowness: 1.0,
                health: Health::Healthy,
            };
        };
        let in_use = if now < record.full_until {
            upstream.slots
        } else {
            record.others_in_use + record.own_slots.count
        };
        let health = match record.detector.health(now) {
            _ if self.in_panic_mode => Health::Healthy,
            health => health,
        };
        UpstreamLoad {
            slots_in_use: in_use,
            slowness: record.detector.routing_slowness(now),
            health,
        }
    }

    /// Looks whether so many upstreams are ejected that ejections are passed over.
    pub fn update_panic_mode(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        let records = live.iter().filter_map(|u| self.upstreams.get(&u.upstream));
        let out = records.filter(|r| r.detector.health(now) != Health::Healthy);
        self.in_panic_mode = out.count() as f64 > PANIC_THRESHOLD * live.len() as f64;
    }

    /// Tells whether ejections are passed over.
    pub fn is_in_panic_mode(&self) -> bool {
        self.in_panic_mode
    }

    /// Takes over what upstreams have announced.
    pub fn apply_announcements(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        for upstream in live {
            if let Some(record) = self.upstreams.get_mut(&upstream.upstream) {
                record.apply_announcement(now, upstream);
            }
        }
    }

    /// Counts a slot that this entry takes.
    pub fn acquire_slot(
        &mut self,
        now: Millis,
        upstream: &Announcement,
    ) {
        let record = self.upstreams.entry(upstream.upstream.clone());
        let record = record.or_insert_with(|| TrackedUpstream {
            incarnation: upstream.incarnation,
            sequence: upstream.sequence,
            others_in_use: upstream.slots_in_use,
            ..TrackedUpstream::default()
        });
        record.own_slots.set(now, record.own_slots.count + 1);
    }

    /// Counts a slot that this entry gives back.
    pub fn release_slot(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record
                .own_slots
                .set(now, record.own_slots.count.saturating_sub(1));
        }
    }

    /// Counts an upstream as full for some time, because its guard refused.
    pub fn mark_full(
        &mut self,
        upstream: &UpstreamName,
        until: Millis,
    ) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.full_until = until;
        }
    }

    /// Takes an answer into account that took `ratio` times its kind's mean.
    pub fn record_answer(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
        ratio: f64,
    ) {
        if let Some(record) = self.upstreams.get_mut(upstream) {
            record.detector.record_answer(now, ratio);
        }
    }

    /// Takes a failure into account; returns whether the upstream was ejected by it.
    pub fn record_failure(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) -> bool {
        let peers = self.upstreams.iter().filter(|(name, _)| *name != upstream);
        let peers: Vec<f64> = peers
            .filter_map(|(_, r)| r.detector.failure_share())
            .collect();
        let mean = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        let record = self.upstreams.get_mut(upstream);
        record.is_some_and(|r| r.detector.record_failure(now, mean))
    }
}

impl TrackedUpstream {
    /// Takes a newer announcement over; a restarted upstream starts without a past. Slots that
    /// this entry held of late may be among the announced ones.
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
