//! Operators and their roles.

use {
    super::{IniFile, IniSection, KeyHash, OperatorName},
    derive_more::{Display, FromStr},
    serde::Serialize,
    std::collections::BTreeSet,
};

/// A permission of an operator.
#[derive(Clone, Copy, Debug, Display, Eq, FromStr, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Role {
    /// May read everything in the administration API.
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
    /// The name, which audit records contain.
    pub name: OperatorName,
    /// The hash of the bearer key.
    #[serde(skip)]
    pub key: KeyHash,
    /// The permissions.
    pub roles: BTreeSet<Role>,
}

impl Operator {
    /// Reads an `[operator NAME]` section and records faults in `file`. Returns `None` if a key is
    /// missing or not valid.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let key =
            file.required_from_str(section, "key", "the BLAKE3 hash of the key in hexadecimal");
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
