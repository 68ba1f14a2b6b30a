//! Which owners and starts of a job a guard still obeys.

use {
    super::bounds::{FENCE_RETENTION, MAX_FENCES},
    crate::{
        connection::{GangId, Refusal},
        prelude::*,
        process::platform::Term,
    },
    std::collections::BTreeMap,
};

/// What is refused for one job.
#[derive(Clone, Copy, Debug)]
struct Fence {
    /// Terms up to this one are over here.
    closed_up_to: Option<Term>,
    /// Owners before this one are over.
    ownership: u32,
    last_used: Millis,
}

/// The fences of the jobs that a guard has heard of, bounded in number and age.
#[derive(Debug, Default)]
pub struct Fences {
    fences: BTreeMap<JobId, Fence>,
}

impl Fences {
    /// Admits a call about a start that is to hold or to commit something.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] when a later owner or start is known, or the start is over.
    pub fn admit(
        &mut self,
        now: Millis,
        gang: GangId,
    ) -> Result<(), Refusal> {
        self.admit_owner(now, gang.job, gang.term.ownership)?;
        let closed = self.fences.get(&gang.job).and_then(|f| f.closed_up_to);
        if closed.is_some_and(|c| gang.term <= c) {
            return Err(Refusal::Fenced);
        }
        Ok(())
    }

    /// Admits a call of an owner.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] when a later owner is known.
    pub fn admit_owner(
        &mut self,
        now: Millis,
        job: JobId,
        ownership: u32,
    ) -> Result<(), Refusal> {
        let fence = self.fences.entry(job).or_insert(Fence {
            closed_up_to: None,
            ownership,
            last_used: now,
        });
        fence.last_used = now;
        if ownership < fence.ownership {
            return Err(Refusal::Fenced);
        }
        fence.ownership = ownership;
        Ok(())
    }

    /// Refuses a start, and those before it, from now on.
    pub fn close(
        &mut self,
        gang: GangId,
    ) {
        if let Some(fence) = self.fences.get_mut(&gang.job) {
            fence.closed_up_to = fence.closed_up_to.max(Some(gang.term));
        }
    }

    /// Forgets fences that are old, and the oldest when there are too many.
    pub fn expire(
        &mut self,
        now: Millis,
    ) {
        self.fences
            .retain(|_, f| now.since(f.last_used) < FENCE_RETENTION);
        while self.fences.len() > MAX_FENCES {
            let oldest = self.fences.iter().min_by_key(|(_, f)| f.last_used);
            let Some(oldest) = oldest.map(|(job, _)| *job) else {
                return;
            };
            self.fences.remove(&oldest);
        }
    }

    /// Returns the number of fences.
    pub fn len(&self) -> usize {
        self.fences.len()
    }

    /// Tells whether there is no fence.
    pub fn is_empty(&self) -> bool {
        self.fences.is_empty()
    }
}
