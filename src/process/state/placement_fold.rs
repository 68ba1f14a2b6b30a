//! Where jobs run and what is claimed for them, as the owners of the jobs told the log.

use {
    super::{JobRecord, RecordCx, RecordOutcome},
    crate::{prelude::*, process::job_queue::HeldOn},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// The most running jobs that are kept.
const MAX_RUNNING_JOBS: usize = 20_000;

/// What an owner tells of its jobs' places, so that other entries can weigh them. Nothing is
/// decided by it: guards hold accelerators whatever the log says.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum PlacementRecord {
    /// A job has a place.
    Started {
        /// The job.
        job: JobId,
        /// What it holds.
        held: Vec<HeldOn>,
    },
    /// A job has lost its place and waits.
    Waiting {
        /// The job.
        job: JobId,
    },
    /// What the owner claims for a waiting job; the last claim of an owner counts.
    Claim {
        /// The claim, or none.
        claim: Option<PlacementClaim>,
    },
}

/// A claim of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementClaim {
    /// The job.
    pub job: JobId,
    /// The workers.
    pub workers: BTreeSet<UpstreamName>,
    /// When they are expected to have room, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub free_at_ms: u64,
}

/// A job's place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobPlacement {
    /// The entry that told of it.
    pub owner: EntryName,
    /// What the job holds.
    pub held: Vec<HeldOn>,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// The places of running jobs, and the claims of entries.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PlacementFold {
    running: BTreeMap<JobId, JobPlacement>,
    claims: BTreeMap<EntryName, PlacementClaim>,
}

impl PlacementFold {
    /// Returns the place of a job.
    pub fn placement_of(
        &self,
        job: JobId,
    ) -> Option<&JobPlacement> {
        self.running.get(&job)
    }

    /// Returns the jobs that have places.
    pub fn running(&self) -> &BTreeMap<JobId, JobPlacement> {
        &self.running
    }

    /// Returns the claims, by entry.
    pub fn claims(&self) -> &BTreeMap<EntryName, PlacementClaim> {
        &self.claims
    }

    /// Folds what an owner tells.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: PlacementRecord,
    ) -> RecordOutcome {
        match record {
            PlacementRecord::Started { job, held } => {
                let mark = JobPlacement {
                    owner: cx.writer.clone(),
                    held,
                    since_ms: cx.appended_ms,
                };
                self.running.insert(job, mark);
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

    /// Forgets the place of a job that has ended.
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
