//! Decides which bodies a group of ports admits and which it aborts.

use {
    super::PortLimits,
    crate::prelude::*,
    derive_more::{Display, Error},
    std::collections::BTreeMap,
};

/// The age from which on the arrival rate of a body counts. It exceeds the longest pause of a client
/// within the limits of the configuration, which sends its request within 3 s.
const RATE_GRACE: Duration = Duration::from_secs(5);

/// The number of a body within its budget.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyId(u64);

/// The error that a body does not fit into the budget, even if the others that may be aborted are.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the limit of the bodies is reached")]
pub struct OverLimit;

#[derive(Clone, Copy, Debug)]
struct Body {
    started_at: Millis,
    /// The size of its buffer.
    capacity: usize,
    received: usize,
    /// Whether it has been received and is being handled. It is no longer aborted then.
    is_complete: bool,
}

impl Body {
    fn is_too_slow(
        &self,
        min_rate: u64,
        now: Millis,
    ) -> bool {
        let age = now.since(self.started_at);
        let counted = age.saturating_sub(RATE_GRACE).as_millis();
        !self.is_complete && (self.received as u128) * 1000 < u128::from(min_rate) * counted
    }
}

/// The bodies of a group of ports that are held in memory.
///
/// When a limit is reached, bodies below the minimum rate are aborted first, then the oldest ones:
/// the body of an ordinary client arrives at once, so it is younger than those that are kept open.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    limits: PortLimits,
    bodies: BTreeMap<BodyId, Body>,
    held_bytes: usize,
    next_id: u64,
}

impl BodyBudget {
    /// Creates an empty budget.
    pub fn new(limits: PortLimits) -> Self {
        Self {
            limits,
            bodies: BTreeMap::new(),
            held_bytes: 0,
            next_id: 0,
        }
    }

    /// Returns the bytes of the buffers of all bodies.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Admits a body without a buffer. Returns its number and the bodies that are aborted for it,
    /// which the budget no longer holds.
    pub fn admit(
        &mut self,
        now: Millis,
    ) -> (BodyId, Vec<BodyId>) {
        let mut aborted = Vec::new();
        while self.bodies_in_progress() >= self.limits.bodies {
            let Some(victim) = self.worst(now) else {
                break;
            };
            self.release(victim);
            aborted.push(victim);
        }
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = Body {
            started_at: now,
            capacity: 0,
            received: 0,
            is_complete: false,
        };
        self.bodies.insert(id, body);
        (id, aborted)
    }

    /// Enlarges the buffer of a body to `capacity` and returns the bodies that are aborted for it,
    /// which the budget no longer holds.
    ///
    /// # Errors
    /// Returns [`OverLimit`] if the body itself is the first to be aborted, or if it is no longer
    /// held. It has to be dropped.
    pub fn grow(
        &mut self,
        id: BodyId,
        capacity: usize,
        now: Millis,
    ) -> Result<Vec<BodyId>, OverLimit> {
        let body = self.bodies.get(&id).ok_or(OverLimit)?;
        let added = capacity.saturating_sub(body.capacity);
        let mut aborted = Vec::new();
        let mut held_bytes = self.held_bytes;
        let mut candidates = self.in_progress(now).into_iter();
        // A single body is admitted whatever its length.
        while held_bytes + added > self.limits.body_bytes && self.bodies.len() > aborted.len() + 1 {
            let Some(victim) = candidates.next().filter(|v| *v != id) else {
                self.release(id);
                return Err(OverLimit);
            };
            held_bytes -= self.bodies.get(&victim).map_or(0, |b| b.capacity);
            aborted.push(victim);
        }
        for victim in &aborted {
            self.release(*victim);
        }
        self.held_bytes += added;
        if let Some(body) = self.bodies.get_mut(&id) {
            body.capacity += added;
        }
        Ok(aborted)
    }

    /// Records that `count` bytes of a body have arrived.
    pub fn record_received(
        &mut self,
        id: BodyId,
        count: usize,
    ) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.received += count;
        }
    }

    /// Records that a body has been received; its bytes count until it is released.
    pub fn complete(
        &mut self,
        id: BodyId,
    ) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_complete = true;
        }
    }

    /// Returns whether a body arrives below the minimum rate.
    pub fn is_too_slow(
        &self,
        id: BodyId,
        now: Millis,
    ) -> bool {
        let body = self.bodies.get(&id);
        body.is_some_and(|b| b.is_too_slow(self.limits.min_body_rate, now))
    }

    /// Removes a body; one that was aborted is not held any more.
    pub fn release(
        &mut self,
        id: BodyId,
    ) {
        if let Some(body) = self.bodies.remove(&id) {
            self.held_bytes -= body.capacity;
        }
    }

    /// Aborts the body that is aborted first, if there is one that is at least `min_age` old.
    pub fn abort_worst(
        &mut self,
        min_age: Duration,
        now: Millis,
    ) -> Option<BodyId> {
        let worst = self.worst(now)?;
        let age = now.since(self.bodies.get(&worst)?.started_at);
        (age >= min_age).then(|| {
            self.release(worst);
            worst
        })
    }

    fn bodies_in_progress(&self) -> usize {
        self.bodies.values().filter(|b| !b.is_complete).count()
    }

    /// Returns the body that is aborted first.
    fn worst(
        &self,
        now: Millis,
    ) -> Option<BodyId> {
        self.in_progress(now).first().copied()
    }

    /// Returns the bodies in progress in the order in which they are aborted.
    fn in_progress(
        &self,
        now: Millis,
    ) -> Vec<BodyId> {
        let min_rate = self.limits.min_body_rate;
        let in_progress = self.bodies.iter().filter(|(_, b)| !b.is_complete);
        let keys = in_progress.map(|(id, b)| (!b.is_too_slow(min_rate, now), b.started_at, *id));
        let mut keys: Vec<_> = keys.collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, _, id)| id).collect()
    }
}
