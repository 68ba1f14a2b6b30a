//! Reference model: a minimal implementation of the rules of the log, applied to every stored
//! record.

use {
    limpetquay::{
        prelude::*,
        process::{
            platform::LogRecord,
            state::{JobEnd, JobRecord, Record, RecordBody},
        },
    },
    std::collections::BTreeMap,
};

/// A job in the reference model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelJob {
    /// Epoch of the owner's process.
    pub owner: u64,
    /// Number of the ownership.
    pub ownership: u32,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// How the job ended.
    pub end: Option<JobEnd>,
}

/// The state after all records of the log.
#[derive(Debug, Default)]
pub struct Model {
    /// The texts of the accepted versions, from version 1 on.
    pub versions: Vec<Arc<str>>,
    /// All jobs, open and ended.
    pub jobs: BTreeMap<JobId, ModelJob>,
    last_sequences: BTreeMap<u64, u64>,
}

impl Model {
    /// Applies every record of the log, in order.
    pub fn of(history: &[LogRecord]) -> Self {
        let mut model = Self::default();
        for record in history {
            let record: Record = postcard::from_bytes(&record.data).expect("a well-formed record");
            let last = model.last_sequences.entry(record.key.epoch).or_default();
            if record.key.sequence > *last {
                *last = record.key.sequence;
                model.apply(record.key.epoch, record.body);
            }
        }
        model
    }

    fn apply(
        &mut self,
        writer: u64,
        body: RecordBody,
    ) {
        match body {
            RecordBody::Document(d) if d.follows.0 == self.versions.len() as u64 => {
                self.versions.push(d.text);
            }
            RecordBody::Job(JobRecord::Accepted { spec, .. }) => {
                self.jobs.entry(spec.id).or_insert(ModelJob {
                    owner: writer,
                    ownership: 1,
                    cancelled: false,
                    end: None,
                });
            }
            RecordBody::Job(JobRecord::Cancelled { job }) => {
                if let Some(job) = self.open_job_mut(job) {
                    job.cancelled = true;
                }
            }
            RecordBody::Job(JobRecord::OwnerChanged { job, follows, .. }) => {
                if let Some(job) = self.open_job_mut(job).filter(|j| j.ownership == follows) {
                    job.owner = writer;
                    job.ownership += 1;
                }
            }
            RecordBody::Job(JobRecord::Ended {
                job,
                ownership,
                end,
            }) => {
                if let Some(job) = self.open_job_mut(job).filter(|j| j.ownership == ownership) {
                    job.end = Some(end);
                }
            }
            _ => {}
        }
    }

    fn open_job_mut(
        &mut self,
        job: JobId,
    ) -> Option<&mut ModelJob> {
        self.jobs.get_mut(&job).filter(|j| j.end.is_none())
    }
}
