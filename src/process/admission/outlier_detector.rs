//! Detects and ejects upstreams that fail more often than their peers, and measures slow ones.

use crate::{prelude::*, request::Health};

/// Weight of a new sample in the means.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Fewest samples before an upstream can be ejected.
const MIN_SAMPLES: u32 = 5;

/// Share of failures from which an upstream is ejected.
const EJECTION_FAILURE_SHARE: f64 = 0.5;

/// Least ratio of an upstream's share of failures to its peers' mean for an ejection.
const MIN_PEER_RATIO: f64 = 2.0;

/// Duration of the first ejection; each further one in a row lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Slowness up to which an upstream counts as fast as its peers.
const TOLERATED_SLOWNESS: f64 = 1.5;

/// Largest slowness that one answer counts for.
const MAX_SLOWNESS: f64 = 50.0;

/// Half-life of an upstream's slowness above 1 without new samples.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(10);

/// Failures, slowness and ejections of one upstream, as seen by one entry.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    sample_count: u32,
    failure_share: f64,
    slowness: f64,
    last_sample: Millis,
    ejected_until: Option<Millis>,
    consecutive_ejections: u32,
}

impl OutlierDetector {
    /// Returns the mean share of failures; `None` without samples.
    pub fn failure_share(&self) -> Option<f64> {
        (self.sample_count > 0).then_some(self.failure_share)
    }

    /// Returns how many times longer than its peers the upstream takes. The value decays towards 1
    /// without samples, so that the upstream is tried again.
    pub fn slowness(
        &self,
        now: Millis,
    ) -> f64 {
        if self.slowness <= 1.0 {
            return 1.0;
        }
        let idle = now.since(self.last_sample).as_secs_f64();
        let decay = 0.5_f64.powf(idle / SLOWNESS_HALF_LIFE.as_secs_f64());
        1.0 + (self.slowness - 1.0) * decay
    }

    /// Returns the slowness for routing, in which small differences do not count.
    pub fn routing_slowness(
        &self,
        now: Millis,
    ) -> f64 {
        let slowness = self.slowness(now);
        if slowness <= TOLERATED_SLOWNESS {
            1.0
        } else {
            slowness
        }
    }

    /// Returns the health of the upstream at `now`.
    pub fn health(
        &self,
        now: Millis,
    ) -> Health {
        match self.ejected_until {
            None => Health::Healthy,
            Some(until) if now < until => Health::Ejected,
            Some(_) => Health::Trial,
        }
    }

    /// Records an answer that took `ratio` times the mean of its kind; it ends a trial.
    pub fn record_answer(
        &mut self,
        now: Millis,
        ratio: f64,
    ) {
        let slowness = self.slowness(now);
        let ratio = ratio.min(MAX_SLOWNESS);
        self.slowness = slowness + SAMPLE_WEIGHT * (ratio - slowness);
        self.last_sample = now;
        self.failure_share -= SAMPLE_WEIGHT * self.failure_share;
        self.sample_count = self.sample_count.saturating_add(1);
        if self.health(now) == Health::Trial {
            *self = Self {
                slowness: self.slowness,
                last_sample: now,
                ..Self::default()
            };
        }
    }

    /// Records a failure; returns whether it ejected the upstream. `peer_share` is the mean share
    /// of failures of the upstream's peers.
    pub fn record_failure(
        &mut self,
        now: Millis,
        peer_share: f64,
    ) -> bool {
        self.failure_share += SAMPLE_WEIGHT * (1.0 - self.failure_share);
        self.sample_count = self.sample_count.saturating_add(1);
        // The slowness decays from the last sample on.
        self.slowness = self.slowness(now);
        self.last_sample = now;
        let fails_trial = self.health(now) == Health::Trial;
        let fails_often = self.ejected_until.is_none()
            && self.sample_count >= MIN_SAMPLES
            && self.failure_share >= EJECTION_FAILURE_SHARE
            && self.failure_share >= MIN_PEER_RATIO * peer_share;
        if !(fails_trial || fails_often) {
            return false;
        }
        let duration = FIRST_EJECTION * 2_u32.pow(self.consecutive_ejections.min(5));
        self.consecutive_ejections += 1;
        self.ejected_until = Some(now + Millis::from(duration.min(MAX_EJECTION)));
        true
    }
}
