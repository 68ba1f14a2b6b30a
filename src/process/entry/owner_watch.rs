//! Which owners of jobs are gone, as one entry sees it.

use {
    crate::{prelude::*, process::membership::rendezvous_rank, process::state::JobState},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long an owner has to be missing, after its leases have lapsed, before its jobs pass to
/// others. A pause that is shorter than both together moves nothing.
const GONE_AFTER: Duration = Duration::from_secs(5);

/// How much longer each further entry waits for the one before it to take a job over.
const RANK_DELAY: Duration = Duration::from_secs(5);

/// One start of an entry, as the owner of jobs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Owner {
    /// The entry.
    pub name: EntryName,
    /// The random number of its start.
    pub epoch: u64,
}

/// Since when each owner of open jobs has been missing.
#[derive(Debug)]
pub struct OwnerWatch {
    own: Owner,
    missing: BTreeMap<Owner, Millis>,
}

impl OwnerWatch {
    /// Creates the watch of one start of an entry.
    pub fn new(own: Owner) -> Self {
        Self {
            own,
            missing: BTreeMap::new(),
        }
    }

    /// Takes over who owns open jobs and which entries live.
    pub fn observe<F>(
        &mut self,
        now: Millis,
        owners: BTreeSet<Owner>,
        is_live: F,
    ) where
        F: Fn(&Owner) -> bool,
    {
        self.missing.retain(|o, _| owners.contains(o));
        for owner in owners {
            if owner == self.own || is_live(&owner) {
                self.missing.remove(&owner);
            } else {
                self.missing.entry(owner).or_insert(now);
            }
        }
    }

    /// Tells whether this entry is to take a job over now. The jobs of one owner are spread over
    /// the live entries; when the first choice does not act, the next one does. An earlier start
    /// of this entry is gone for sure, so its jobs come over at once.
    pub fn is_due(
        &self,
        now: Millis,
        job: &JobState,
        live: &[EntryName],
    ) -> bool {
        let owner = Owner {
            name: job.owner.clone(),
            epoch: job.owner_epoch,
        };
        let Some(since) = self.missing.get(&owner) else {
            return false;
        };
        if owner.name == self.own.name {
            return true;
        }
        let rank = rendezvous_rank(&job.spec.id.to_string(), &self.own.name, live);
        now.since(*since) >= GONE_AFTER + RANK_DELAY * rank
    }
}
