//! The accelerators of an upstream: who holds which, and until when.

use {
    crate::{
        connection::{GuaranteedShare, Refusal, ReserveCall},
        prelude::*,
        process::platform::{TaskId, Term},
    },
    std::collections::BTreeMap,
};

/// How a member of a gang holds its accelerators.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Held until a commit comes, until the given time at most.
    Reserved {
        /// When the reservation lapses.
        until: Millis,
    },
    /// The task was started on them.
    Committed,
}

/// What one member of a gang holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holding {
    /// The account that owns the job.
    pub account: AccountName,
    /// The accelerators.
    pub accelerators: AcceleratorSet,
    /// Whether the task gives its accelerators back when they are reclaimed.
    pub evictable: bool,
    /// How they are held.
    pub phase: Phase,
}

/// The book of one upstream's accelerators.
#[derive(Debug)]
pub struct AcceleratorBook {
    all: AcceleratorSet,
    holdings: BTreeMap<TaskId, Holding>,
    terms: BTreeMap<JobId, Term>,
    layout: u64,
    guaranteed: Vec<GuaranteedShare>,
}

impl AcceleratorBook {
    /// Creates a book in which nothing is held.
    pub fn new(all: AcceleratorSet) -> Self {
        Self {
            all,
            holdings: BTreeMap::new(),
            terms: BTreeMap::new(),
            layout: 0,
            guaranteed: Vec::new(),
        }
    }

    /// Returns all accelerators.
    pub fn all(&self) -> AcceleratorSet {
        self.all
    }

    /// Returns the accelerators that nothing holds.
    pub fn free(&self) -> AcceleratorSet {
        let held = self.holdings.values().map(|h| h.accelerators);
        self.all
            .without(held.fold(AcceleratorSet::empty(), AcceleratorSet::union))
    }

    /// Takes over which accelerators are guaranteed to whom, unless a newer layout is known.
    pub fn set_guaranteed(
        &mut self,
        layout: u64,
        guaranteed: Vec<GuaranteedShare>,
    ) {
        if layout > self.layout {
            self.layout = layout;
            self.guaranteed = guaranteed;
        }
    }

    /// Returns which accelerators are guaranteed to whom.
    pub fn guaranteed(&self) -> &[GuaranteedShare] {
        &self.guaranteed
    }

    /// Returns the guaranteed accelerators that other accounts' evictable work holds.
    pub fn borrowed(&self) -> AcceleratorSet {
        let evictable = self.holdings.values().filter(|h| h.evictable);
        let borrowed = evictable.map(|h| {
            let own = GuaranteedShare::of_account(&self.guaranteed, &h.account);
            let others = GuaranteedShare::union_of(&self.guaranteed).without(own);
            h.accelerators.intersection(others)
        });
        borrowed.fold(AcceleratorSet::empty(), AcceleratorSet::union)
    }

    /// Returns what a member holds.
    pub fn holding(
        &self,
        id: TaskId,
    ) -> Option<&Holding> {
        self.holdings.get(&id)
    }

    /// Holds accelerators for a member. Reserving again returns the same accelerators.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] when a newer term of the job is known, [`Refusal::NoAccelerators`] when
    /// too few are free.
    pub fn reserve(
        &mut self,
        now: Millis,
        call: &ReserveCall,
    ) -> Result<AcceleratorSet, Refusal> {
        self.check_term(call.id)?;
        if let Some(holding) = self.holdings.get(&call.id) {
            return Ok(holding.accelerators);
        }
        let accelerators = self.free().take(call.accelerators);
        let accelerators = accelerators.ok_or(Refusal::NoAccelerators)?;
        let holding = Holding {
            account: call.account.clone(),
            accelerators,
            evictable: call.evictable,
            phase: Phase::Reserved {
                until: now + Millis(call.hold_ms),
            },
        };
        self.holdings.insert(call.id, holding);
        Ok(accelerators)
    }

    /// Turns a reservation into a running task's holding.
    ///
    /// # Errors
    /// [`Refusal::NotReserved`] when the reservation has lapsed, [`Refusal::Fenced`] when a newer
    /// term of the job is known.
    pub fn commit(
        &mut self,
        id: TaskId,
    ) -> Result<AcceleratorSet, Refusal> {
        self.check_term(id)?;
        let holding = self.holdings.get_mut(&id).ok_or(Refusal::NotReserved)?;
        holding.phase = Phase::Committed;
        Ok(holding.accelerators)
    }

    /// Gives back what a member holds; `true` when it held anything.
    pub fn release(
        &mut self,
        id: TaskId,
    ) -> bool {
        self.holdings.remove(&id).is_some()
    }

    /// Gives back the reservations that have lapsed, and returns their members.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<TaskId> {
        let lapsed = |h: &Holding| matches!(h.phase, Phase::Reserved { until } if until <= now);
        let lapsed = self.holdings.iter().filter(|(_, h)| lapsed(h));
        let lapsed: Vec<TaskId> = lapsed.map(|(id, _)| *id).collect();
        for id in &lapsed {
            self.holdings.remove(id);
        }
        lapsed
    }

    /// Notes the newest term of a job and refuses older ones.
    fn check_term(
        &mut self,
        id: TaskId,
    ) -> Result<(), Refusal> {
        let term = self.terms.entry(id.job).or_insert(id.term);
        if id.term < *term {
            return Err(Refusal::Fenced);
        }
        *term = id.term;
        Ok(())
    }
}
