//! The records of the ledger.

use {
    super::KeyedRecord,
    crate::{
        connection::none_if_missing,
        prelude::*,
        request::{JobProgress, StepJob, StepJobId},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// The role of a process of the system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRole {
    /// An entry.
    Entry,
    /// A guard.
    Guard,
}

/// A process of the system to which other processes connect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The name of the process's instance.
    pub name: Arc<str>,
    /// The role of the process.
    pub role: MemberRole,
    /// The address to which peers connect.
    pub address: SocketAddr,
    /// A random number that identifies the registration.
    pub registration: u64,
    /// The bytes of jobs that an entry can hold; `None` for guards. Processes of earlier versions do not
    /// store this field.
    #[serde(deserialize_with = "none_if_missing")]
    pub job_bytes: Option<u64>,
}

/// A claim, renewal or resignation of leadership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// The name of the entry.
    pub entry: EntryName,
    /// The random number that the entry drew at its start.
    pub boot: u64,
    /// The term; `None` in a claim of earlier versions, whose term is its own offset plus one.
    pub term: Option<u64>,
    /// Whether the entry resigns.
    pub resigned: bool,
    /// The entry's clock in milliseconds, which makes each record differ.
    #[serde(rename = "beat")]
    pub nonce: u64,
}

/// The content of a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerRecord {
    /// An accepted job.
    Job(StepJob),
    /// A job's progress.
    Progress(JobProgress),
    /// A cancellation by the job's caller; holds the wall-clock time in milliseconds.
    Cancel(u64),
    /// The registration of a process.
    Member(Member),
    /// A claim, renewal or resignation of leadership.
    #[serde(rename = "Lead")]
    Leader(LeaderRecord),
    /// The end of a guard's registration. It precedes the tombstone of the guard's key in the same
    /// append, so that a reader knows which registration the tombstone removes.
    Deregistered(Deregistration),
}

/// The end of a guard's registration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Deregistration {
    /// The number of the registration.
    pub registration: u64,
    /// How long the last lease of the guard's worker still lasts, in milliseconds.
    pub lease_ms: u64,
}

/// The key of a record.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum LedgerKey {
    /// An accepted job.
    #[display("job/{_0}")]
    Job(StepJobId),
    /// The progress of a job.
    #[display("progress/{_0}")]
    Progress(StepJobId),
    /// One of the further records of the progress of a job, by its number. Earlier versions ignore
    /// them.
    #[display("progress/{_0}/{_1}")]
    ProgressPart(StepJobId, u32),
    /// The cancellation of a job.
    #[display("cancel/{_0}")]
    Cancel(StepJobId),
    /// The registration of a process, by the name of its instance.
    #[display("member/{_0}")]
    Member(Arc<str>),
    /// The leader.
    #[display("lead")]
    Leader,
}

impl LedgerKey {
    /// Parses a key. Returns `None` for a key that this version does not know.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "lead" {
            return Some(Self::Leader);
        }
        let (kind, name) = text.split_once('/')?;
        if kind == "member" {
            return Some(Self::Member(name.into()));
        }
        let (name, part) = match name.split_once('/') {
            Some((name, part)) if kind == "progress" => (name, Some(part.parse().ok()?)),
            _ => (name, None),
        };
        let id: StepJobId = name.parse().ok()?;
        if let Some(part) = part {
            return Some(Self::ProgressPart(id, part));
        }
        match kind {
            "job" => Some(Self::Job(id)),
            "progress" => Some(Self::Progress(id)),
            "cancel" => Some(Self::Cancel(id)),
            _ => None,
        }
    }

    /// Returns the record that stores `content` under this key.
    ///
    /// # Errors
    /// Returns the encoder's error.
    pub fn record(
        &self,
        content: &LedgerRecord,
    ) -> Result<KeyedRecord, postcard::Error> {
        Ok(KeyedRecord {
            key: self.to_string().into(),
            value: Some(postcard::to_stdvec(content)?.into()),
            offset: 0,
        })
    }

    /// Returns the record that removes this key.
    pub fn tombstone(&self) -> KeyedRecord {
        KeyedRecord {
            key: self.to_string().into(),
            value: None,
            offset: 0,
        }
    }
}
