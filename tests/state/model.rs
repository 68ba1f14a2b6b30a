//! The oracle: the rules of the log in their plainest form, over every record that the log took.

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

/// A job as the oracle sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelJob {
    /// The start of an entry that owns it.
    pub owner: u64,
    /// The number of the ownership.
    pub ownership: u32,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// How it ended.
    pub end: Option<JobEnd>,
}

/// What the whole log tells.
#[derive(Debug, Default)]
pub struct Model {
    /// The texts of versions 1, 2 and so on.
    pub versions: Vec<Arc<str>>,
    /// The jobs.
    pub jobs: BTreeMap<JobId, ModelJob>,
    last_sequences: BTreeMap<u64, u64>,
}

impl Model {
    /// Reads the whole log.
    pub fn of(history: &[LogRecord]) -> Self {
        let mut model = Self::default();
        for record in history {
            let record: Record = postcard::from_bytes(&record.data).expect("a whole record");
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
            RecordBody::Job(JobRecord::Owner { job, follows, .. }) => {
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
