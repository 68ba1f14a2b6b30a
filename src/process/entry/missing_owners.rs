//! Tracks the owners of jobs that are no longer live, to decide which entry takes their jobs over.

use {
    crate::{prelude::*, process::membership::rendezvous_rank, process::state::JobState},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long an owner has to be absent, after its leases have expired, before other entries take its
/// jobs over. A pause shorter than the leases and this time together causes no takeover.
const OWNER_LOSS_GRACE: Duration = Duration::from_secs(5);

/// How much longer each entry waits than the entry of the next lower rank before it takes a job
/// over.
const DELAY_PER_RANK: Duration = Duration::from_secs(5);

/// One incarnation of an entry as the owner of jobs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobOwner {
    /// The entry's name.
    pub name: EntryName,
    /// The random epoch of the incarnation.
    pub epoch: u64,
}

/// The owners of open jobs that are not live, each with the time of its first absence.
#[derive(Debug)]
pub struct MissingOwners {
    own: JobOwner,
    missing_since: BTreeMap<JobOwner, Millis>,
}

impl MissingOwners {
    /// Creates an empty tracker for the entry incarnation `own`.
    pub fn new(own: JobOwner) -> Self {
        Self {
            own,
            missing_since: BTreeMap::new(),
        }
    }

    /// Updates the tracker from the owners of open jobs and from which of them are live.
    pub fn observe<F>(
        &mut self,
        now: Millis,
        owners: BTreeSet<JobOwner>,
        is_live: F,
    ) where
        F: Fn(&JobOwner) -> bool,
    {
        self.missing_since.retain(|o, _| owners.contains(o));
        for owner in owners {
            if owner == self.own || is_live(&owner) {
                self.missing_since.remove(&owner);
            } else {
                self.missing_since.entry(owner).or_insert(now);
            }
        }
    }

    /// Returns whether this entry has to take a job over now. Rendezvous hashing spreads the jobs
    /// of one owner over the live entries; when the first-ranked entry does not act, the next one
    /// does. Jobs of an earlier incarnation of this entry are taken over at once, because that
    /// incarnation has certainly ended.
    pub fn is_takeover_due(
        &self,
        now: Millis,
        job: &JobState,
        live: &[EntryName],
    ) -> bool {
        let owner = JobOwner {
            name: job.owner.clone(),
            epoch: job.owner_epoch,
        };
        let Some(since) = self.missing_since.get(&owner) else {
            return false;
        };
        if owner.name == self.own.name {
            return true;
        }
        let rank = rendezvous_rank(&job.spec.id.to_string(), &self.own.name, live);
        now.since(*since) >= OWNER_LOSS_GRACE + DELAY_PER_RANK * rank
    }
}
