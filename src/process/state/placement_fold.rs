//! Placements of running jobs and claims for waiting ones, as reported by the owners of the jobs.

use {
    super::{JobRecord, RecordCx, RecordOutcome},
    crate::{prelude::*, process::job_queue::HeldCapacity},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest number of placements kept; beyond it, the placement of the job with the lowest identity
/// is dropped.
const MAX_RUNNING_JOBS: usize = 20_000;

/// Report of an owner about the placement of its jobs, which other entries take into account when
/// they schedule. It is advisory: guards allocate accelerators independently of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PlacementRecord {
    /// A job was placed.
    Started {
        /// The job.
        job: JobId,
        /// The capacity allocated to the job.
        held: Vec<HeldCapacity>,
    },
    /// A job lost its placement and waits.
    Waiting {
        /// The job.
        job: JobId,
    },
    /// The owner claims workers for a waiting job. A new claim replaces the previous one of the
    /// owner.
    Claim {
        /// The claim, or `None` to withdraw it.
        claim: Option<PlacementClaim>,
    },
}

/// A claim of one entry on workers for a waiting job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementClaim {
    /// The job.
    pub job: JobId,
    /// The claimed workers.
    pub workers: BTreeSet<UpstreamName>,
    /// When the workers are expected to have enough free capacity, in milliseconds since the Unix
    /// epoch.
    #[serde(rename = "at_ms")]
    pub free_at_ms: u64,
}

/// The placement of a running job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobPlacement {
    /// The entry that reported the placement.
    pub owner: EntryName,
    /// The capacity allocated to the job.
    pub held: Vec<HeldCapacity>,
    /// When the log stored the report, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// The placements of running jobs and the claims of entries.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlacementFold {
    running: BTreeMap<JobId, JobPlacement>,
    claims: BTreeMap<EntryName, PlacementClaim>,
}

impl PlacementFold {
    /// Returns the placement of a job.
    pub fn placement_of(
        &self,
        job: JobId,
    ) -> Option<&JobPlacement> {
        self.running.get(&job)
    }

    /// Returns the placements of running jobs.
    pub fn running(&self) -> &BTreeMap<JobId, JobPlacement> {
        &self.running
    }

    /// Returns the claims by entry.
    pub fn claims(&self) -> &BTreeMap<EntryName, PlacementClaim> {
        &self.claims
    }

    /// Folds the report of an owner.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: PlacementRecord,
    ) -> RecordOutcome {
        match record {
            PlacementRecord::Started { job, held } => {
                let placement = JobPlacement {
                    owner: cx.writer.clone(),
                    held,
                    since_ms: cx.appended_ms,
                };
                self.running.insert(job, placement);
                if self.running.len() > MAX_RUNNING_JOBS {
                    self.running.pop_first();
                }
            }
            PlacementRecord::Waiting { job } => {
                self.running.remove(&job);
            }
            PlacementRecord::Claim { claim: Some(claim) } => {
                self.claims.insert(cx.writer.clone(), claim);
            }
            PlacementRecord::Claim { claim: None } => {
                self.claims.remove(&cx.writer);
            }
        }
        RecordOutcome::Applied
    }

    /// Removes the placement and the claims of the job if the record ends it.
    pub(super) fn apply_job(
        &mut self,
        record: &JobRecord,
    ) {
        if let JobRecord::Ended { job, .. } = record {
            self.running.remove(job);
            self.claims.retain(|_, claim| claim.job != *job);
        }
    }
}
