//! Identifiers of requests and jobs.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::{cell::Cell, str::FromStr},
};

/// Identifier of a request, unique over all entries and their restarts.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("r{epoch:016x}-{sequence}")]
pub struct RequestId {
    /// Random number that the entry chose when it started.
    pub epoch: u64,
    /// Sequence number within the epoch.
    pub sequence: u64,
}

/// Identifier of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("j{_0:016x}")]
pub struct JobId(pub u64);

/// The error of parsing a [`JobId`].
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("expected j and 16 hexadecimal digits")]
pub struct ParseJobIdError;

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(text: &str) -> Result<Self, ParseJobIdError> {
        let digits = text.strip_prefix('j').ok_or(ParseJobIdError)?;
        if digits.len() != 16 {
            return Err(ParseJobIdError);
        }
        let number = u64::from_str_radix(digits, 16).map_err(|_| ParseJobIdError)?;
        Ok(Self(number))
    }
}

/// Generates the identifiers that an entry assigns between its start and its end.
#[derive(Debug)]
pub struct IdGenerator {
    epoch: u64,
    next: Cell<u64>,
}

impl IdGenerator {
    /// Creates a generator with a random epoch.
    pub fn random() -> Self {
        Self::with_epoch(rand::random())
    }

    /// Creates a generator with the given epoch.
    pub fn with_epoch(epoch: u64) -> Self {
        Self {
            epoch,
            next: Cell::new(1),
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns a new request identifier.
    pub fn request_id(&self) -> RequestId {
        RequestId {
            epoch: self.epoch,
            sequence: self.next_number(),
        }
    }

    /// Returns a new job identifier.
    pub fn job_id(&self) -> JobId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.epoch.to_le_bytes());
        hasher.update(&self.next_number().to_le_bytes());
        let hash = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        JobId(u64::from_le_bytes(bytes))
    }

    fn next_number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }
}
