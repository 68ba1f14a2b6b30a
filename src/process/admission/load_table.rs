//! What an entry knows of the load of upstreams.

use {
    super::{OwnSlots, Standing},
    crate::{
        prelude::*,
        process::membership::Announcement,
        request::{Health, UpstreamLoad},
    },
    std::collections::BTreeMap,
};

/// The share of upstreams out of use above which ejections are passed over (the panic rule).
const PANIC_SHARE: f64 = 0.5;

/// What is known of one upstream.
#[derive(Clone, Debug, Default)]
struct UpstreamRecord {
    incarnation: u64,
    sequence: u64,
    /// The slots that others have in use, as of that announcement.
    others: u32,
    own: OwnSlots,
    full_until: Millis,
    standing: Standing,
}

/// The loads of all upstreams. Announcements may be old, so only what others hold is taken from
/// them; what this entry holds it knows.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    records: BTreeMap<UpstreamName, UpstreamRecord>,
    panic: bool,
}

impl LoadTable {
    /// Returns the load of an upstream.
    pub fn load_of(
        &self,
        now: Millis,
        upstream: &Announcement,
    ) -> UpstreamLoad {
        let Some(record) = self.records.get(&upstream.upstream) else {
            return UpstreamLoad {
                in_use: upstream.slots_in_use,
                slowness: 1.0,
                health: Health::Healthy,
            };
        };
        let in_use = if now < record.full_until {
            upstream.slots
        } else {
            record.others + record.own.count
        };
        let health = match record.standing.health(now) {
            _ if self.panic => Health::Healthy,
            health => health,
        };
        UpstreamLoad {
            in_use,
            slowness: record.standing.routing_slowness(now),
            health,
        }
    }

    /// Looks whether so many upstreams are ejected that ejections are passed over.
    pub fn check_panic(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        let records = live.iter().filter_map(|u| self.records.get(&u.upstream));
        let out = records.filter(|r| r.standing.health(now) != Health::Healthy);
        self.panic = out.count() as f64 > PANIC_SHARE * live.len() as f64;
    }

    /// Tells whether ejections are passed over.
    pub fn is_panicking(&self) -> bool {
        self.panic
    }

    /// Takes over what upstreams have announced.
    pub fn adopt(
        &mut self,
        now: Millis,
        live: &[Rc<Announcement>],
    ) {
        for upstream in live {
            if let Some(record) = self.records.get_mut(&upstream.upstream) {
                record.adopt(now, upstream);
            }
        }
    }

    /// Counts a slot that this entry takes.
    pub fn take(
        &mut self,
        now: Millis,
        upstream: &Announcement,
    ) {
        let record = self.records.entry(upstream.upstream.clone());
        let record = record.or_insert_with(|| UpstreamRecord {
            incarnation: upstream.incarnation,
            sequence: upstream.sequence,
            others: upstream.slots_in_use,
            ..UpstreamRecord::default()
        });
        record.own.set(now, record.own.count + 1);
    }

    /// Counts a slot that this entry gives back.
    pub fn give_back(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.own.set(now, record.own.count.saturating_sub(1));
        }
    }

    /// Counts an upstream as full for some time, because its guard refused.
    pub fn set_full(
        &mut self,
        upstream: &UpstreamName,
        until: Millis,
    ) {
        if let Some(record) = self.records.get_mut(upstream) {
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
        if let Some(record) = self.records.get_mut(upstream) {
            record.standing.record_answer(now, ratio);
        }
    }

    /// Takes a failure into account; returns whether the upstream was ejected by it.
    pub fn record_failure(
        &mut self,
        now: Millis,
        upstream: &UpstreamName,
    ) -> bool {
        let peers = self.records.iter().filter(|(name, _)| *name != upstream);
        let peers: Vec<f64> = peers.filter_map(|(_, r)| r.standing.failures()).collect();
        let mean = peers.iter().sum::<f64>() / peers.len().max(1) as f64;
        let record = self.records.get_mut(upstream);
        record.is_some_and(|r| r.standing.record_failure(now, mean))
    }
}

impl UpstreamRecord {
    /// Takes a newer announcement over; a restarted upstream starts without a past. Slots that
    /// this entry held of late may be among the announced ones.
    fn adopt(
        &mut self,
        now: Millis,
        upstream: &Announcement,
    ) {
        if self.incarnation == upstream.incarnation && self.sequence == upstream.sequence {
            return;
        }
        if self.incarnation != upstream.incarnation {
            self.standing = Standing::default();
        }
        self.incarnation = upstream.incarnation;
        self.sequence = upstream.sequence;
        self.others = upstream.slots_in_use.saturating_sub(self.own.peak(now));
        self.full_until = Millis::default();
    }
}
