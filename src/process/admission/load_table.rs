//! What an entry knows of the load of upstreams.

use {
    super::Standing,
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
    /// The slots taken less those given back by this entry since that announcement.
    since: i64,
    own: u32,
    full_until: Millis,
    standing: Standing,
}

/// The loads of all upstreams: announcements may be old, so what this entry has changed since is
/// added.
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
        let announced = i64::from(upstream.slots_in_use);
        let since = if record.follows(upstream) {
            record.since
        } else {
            0
        };
        let in_use = u32::try_from(announced + since).unwrap_or_default();
        let in_use = if now < record.full_until {
            upstream.slots
        } else {
            in_use.max(record.own)
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

    /// Counts a slot that this entry takes.
    pub fn take(
        &mut self,
        upstream: &Announcement,
    ) {
        let record = self.records.entry(upstream.upstream.clone()).or_default();
        record.adopt(upstream);
        record.since += 1;
        record.own += 1;
    }

    /// Counts a slot that this entry gives back.
    pub fn give_back(
        &mut self,
        upstream: &UpstreamName,
    ) {
        if let Some(record) = self.records.get_mut(upstream) {
            record.since -= 1;
            record.own = record.own.saturating_sub(1);
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
    fn follows(
        &self,
        upstream: &Announcement,
    ) -> bool {
        self.incarnation == upstream.incarnation && self.sequence == upstream.sequence
    }

    /// Starts counting anew from a newer announcement; a restarted upstream starts without a past.
    fn adopt(
        &mut self,
        upstream: &Announcement,
    ) {
        if self.incarnation != upstream.incarnation {
            self.standing = Standing::default();
        }
        if !self.follows(upstream) {
            self.incarnation = upstream.incarnation;
            self.sequence = upstream.sequence;
            self.since = 0;
            self.full_until = Millis::default();
        }
    }
}
