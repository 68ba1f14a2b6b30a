//! Operators and what they may do.

use {
    super::{IniFile, IniSection, KeyHash, OperatorName},
    derive_more::{Display, FromStr},
    serde::Serialize,
    std::collections::BTreeSet,
};

/// What an operator may do.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// May look at everything.
    #[display("read")]
    Read,
    /// May drain upstreams and cancel jobs.
    #[display("operate")]
    Operate,
    /// May submit documents.
    #[display("configure")]
    Configure,
}

/// An operator of the service.
#[derive(Clone, Debug, Serialize)]
pub struct Operator {
    /// The operator's name, which stands in audit records.
    pub name: OperatorName,
    /// The hash of the operator's bearer key.
    #[serde(skip)]
    pub key: KeyHash,
    /// What the operator may do.
    pub roles: BTreeSet<Role>,
}

impl Operator {
    /// Reads an `[operator NAME]` section; faults go to `file`.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let key = file.parsed(section, "key", "the BLAKE3 hash of the key in hexadecimal");
        let roles = file.required(section, "roles", "some of read, operate, configure", |v| {
            v.split(',').map(|r| r.trim().parse().ok()).collect()
        });
        Some(Self {
            name: section.name.as_str().into(),
            key: key?,
            roles: roles?,
        })
    }
}
