//! The records of the ledger.

use {
    super::KeyedRecord,
    crate::{
        prelude::*,
        request::{JobProgress, StepJob, StepJobId},
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// What a member of the system does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MemberRole {
    /// An entry.
    Entry,
    /// A guard.
    Guard,
}

/// One process of the system that others connect to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The name of its instance.
    pub name: Arc<str>,
    /// What it does.
    pub role: MemberRole,
    /// Where its peers connect.
    pub address: SocketAddr,
    /// A number drawn at its start.
    pub boot: u64,
}

/// Who schedules.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// The entry.
    pub entry: EntryName,
    /// Its boot.
    pub boot: u64,
    /// The term; `None` in a claim, whose own offset and one make the term.
    pub term: Option<u64>,
    /// Whether the entry gives the lead up.
    pub resigned: bool,
    /// A number that makes each record differ.
    pub nonce: u64,
}

/// A record's content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LedgerRecord {
    /// A job was accepted.
    Job(StepJob),
    /// How far a job is.
    Progress(JobProgress),
    /// A job was cancelled by its caller, at a time of day in milliseconds.
    Cancel(u64),
    /// A process has started.
    Member(Member),
    /// Who schedules.
    Leader(LeaderRecord),
}

/// A record's key.
#[derive(Clone, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum LedgerKey {
    /// An accepted job.
    #[display("job/{_0}")]
    Job(StepJobId),
    /// A job's progress.
    #[display("progress/{_0}")]
    Progress(StepJobId),
    /// A job's cancelling.
    #[display("cancel/{_0}")]
    Cancel(StepJobId),
    /// A process.
    #[display("member/{_0}")]
    Member(Arc<str>),
    /// Who schedules.
    #[display("lead")]
    Leader,
}

impl LedgerKey {
    /// Parses a key; `None` for a key that this version does not know.
    pub fn parse(text: &str) -> Option<Self> {
        if text == "lead" {
            return Some(Self::Leader);
        }
        let (kind, name) = text.split_once('/')?;
        if kind == "member" {
            return Some(Self::Member(name.into()));
        }
        let id = StepJobId(u64::from_str_radix(name, 16).ok()?);
        match kind {
            "job" => Some(Self::Job(id)),
            "progress" => Some(Self::Progress(id)),
            "cancel" => Some(Self::Cancel(id)),
            _ => None,
        }
    }

    /// Builds the record that stores `content` under this key.
    ///
    /// # Errors
    /// The encoder's error.
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

    /// Builds the record that drops this key.
    pub fn tombstone(&self) -> KeyedRecord {
        KeyedRecord {
            key: self.to_string().into(),
            value: None,
            offset: 0,
        }
    }
}
