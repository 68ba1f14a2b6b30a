//! Identifiers of jobs, subtasks and runs.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
};

/// The number of digits of a job's identifier.
const ID_DIGITS: usize = 16;

/// The number of low bits of a serialized [`StepJobId`] that hold its number.
const NUMBER_BITS: u32 = u64::BITS;

/// Identifier that a caller gives a job: 16 hexadecimal digits, kept with the case of each letter.
///
/// It is serialized as a `u128` with the number in the low 64 bits and the uppercase digits above,
/// so that an identifier without uppercase letters has the encoding of a `u64` in `postcard`, as in
/// earlier versions.
#[derive(Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "u128", try_from = "u128")]
pub struct StepJobId {
    number: u64,
    /// The digits that are uppercase letters; the lowest bit stands for the last digit.
    uppercase: u16,
}

/// The error of parsing or decoding a [`StepJobId`].
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("expected {ID_DIGITS} hexadecimal digits")]
pub struct ParseStepJobIdError;

impl StepJobId {
    /// Creates the identifier whose digits are those of `number`, in lowercase.
    pub const fn from_number(number: u64) -> Self {
        Self {
            number,
            uppercase: 0,
        }
    }

    /// Returns the value of a digit, counted from the last one.
    fn digit(
        self,
        index: usize,
    ) -> u8 {
        (self.number >> (4 * index)) as u8 & 0xf
    }

    fn is_uppercase(
        self,
        index: usize,
    ) -> bool {
        self.uppercase >> index & 1 == 1
    }
}

impl fmt::Display for StepJobId {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for index in (0..ID_DIGITS).rev() {
            let digit = self.digit(index);
            if self.is_uppercase(index) {
                write!(f, "{digit:X}")?;
            } else {
                write!(f, "{digit:x}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Debug for StepJobId {
    fn fmt(
        &self,
        f: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        write!(f, "StepJobId({self})")
    }
}

impl FromStr for StepJobId {
    type Err = ParseStepJobIdError;

    fn from_str(text: &str) -> Result<Self, ParseStepJobIdError> {
        let is_id = text.len() == ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_id {
            return Err(ParseStepJobIdError);
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| ParseStepJobIdError)?;
        let digits = text.bytes().rev().enumerate();
        let uppercase = digits.filter(|(_, b)| b.is_ascii_uppercase());
        Ok(Self {
            number,
            uppercase: uppercase.fold(0, |mask, (index, _)| mask | 1 << index),
        })
    }
}

impl From<StepJobId> for u128 {
    fn from(id: StepJobId) -> Self {
        Self::from(id.uppercase) << NUMBER_BITS | Self::from(id.number)
    }
}

impl TryFrom<u128> for StepJobId {
    type Error = ParseStepJobIdError;

    /// Rejects a value that marks a digit as uppercase that is no letter, because its text would be
    /// that of another identifier.
    fn try_from(value: u128) -> Result<Self, ParseStepJobIdError> {
        let uppercase = u16::try_from(value >> NUMBER_BITS).map_err(|_| ParseStepJobIdError)?;
        let id = Self {
            number: value as u64,
            uppercase,
        };
        let is_valid = (0..ID_DIGITS).all(|i| !id.is_uppercase(i) || id.digit(i) >= 10);
        is_valid.then_some(id).ok_or(ParseStepJobIdError)
    }
}

/// Identifier of one subtask of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct SubtaskId {
    /// Job that the subtask belongs to.
    pub job: StepJobId,
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// Index of the subtask within the step, from 0.
    pub index: u32,
}

/// Identifier of a unit, which starts and ends as a whole: a gang, or a single subtask of a step
/// that is not a gang.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{occurrence}.{step}.{index}")]
pub struct UnitId {
    /// The occurrence, counted from 0.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// Index of the subtask within the step, from 0; 0 for a gang.
    pub index: u32,
}

/// Identifier of one run of a subtask. All members of a gang have the same run number.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{subtask}#{run}")]
pub struct RunRef {
    /// Subtask that runs.
    pub subtask: SubtaskId,
    /// Run number, which increases with each start.
    pub run: u64,
}
