//! Fencing of jobs: refuses calls of earlier owners and of starts that are over.

use {
    super::bounds::{FENCE_RETENTION, MAX_FENCES},
    crate::{
        connection::{GangId, Refusal},
        prelude::*,
        process::platform::Term,
    },
    std::collections::BTreeMap,
};

/// The owners and starts that are refused for one job.
#[derive(Clone, Copy, Debug)]
struct Fence {
    /// Starts with this term or an earlier one are refused.
    closed_up_to: Option<Term>,
    /// Owners with a lower ownership number are refused.
    ownership: u32,
    /// When the last call about the job came.
    last_used: Millis,
}

/// The fences of the jobs that a guard has received calls about, limited in number and age.
#[derive(Debug, Default)]
pub struct Fences {
    fences: BTreeMap<JobId, Fence>,
}

impl Fences {
    /// Admits a call that reserves accelerators for a start of a job or commits it.
    ///
    /// # Errors
    /// [`Refusal::Fenced`] when a later owner is known, or when this or a later start is closed.
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

    /// Admits a call of an owner and refuses earlier owners from now on.
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

    /// Refuses a start and all earlier ones from now on. The job has a fence once a call of an
    /// owner was admitted; without one nothing changes.
    pub fn close(
        &mut self,
        gang: GangId,
    ) {
        if let Some(fence) = self.fences.get_mut(&gang.job) {
            fence.closed_up_to = fence.closed_up_to.max(Some(gang.term));
        }
    }

    /// Drops the fences without a call for [`FENCE_RETENTION`], and the oldest ones beyond
    /// [`MAX_FENCES`].
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

    /// Returns whether there is no fence.
    pub fn is_empty(&self) -> bool {
        self.fences.is_empty()
    }
}
