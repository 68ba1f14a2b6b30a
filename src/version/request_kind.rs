//! Kinds of requests.

use {
    super::{IniFile, IniSection, KindName, parse_bool, parse_bytes, parse_duration},
    derive_more::{Display, FromStr},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How urgent a request or job is.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Goes before everything else.
    #[display("urgent")]
    Urgent,
    /// The usual class.
    #[display("normal")]
    Normal,
    /// May wait overnight and gives way to the rest.
    #[display("deferrable")]
    Deferrable,
}

/// A kind of request that callers may send.
#[derive(Clone, Debug, Serialize)]
pub struct RequestKind {
    /// The kind's name, which stands in the request's path.
    pub name: KindName,
    /// How urgent its requests are.
    pub class: Class,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// The longest time that a request may run on an upstream.
    pub timeout: Duration,
    /// The largest request body, in bytes.
    pub max_body: u64,
    /// The largest answer, in bytes.
    pub max_answer: u64,
}

impl RequestKind {
    /// Reads a `[request-kind NAME]` section; faults go to `file`.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let class = read_class(file, section);
        let idempotent = file.required(section, "idempotent", "yes or no", parse_bool);
        let timeout = file.required(section, "timeout", "a duration such as 30s", parse_duration);
        let body = file.required(section, "max_body", "a size such as 64KiB", parse_bytes);
        let answer = file.required(section, "max_answer", "a size such as 1MiB", parse_bytes);
        Some(Self {
            name: section.name.as_str().into(),
            class: class?,
            idempotent: idempotent?,
            timeout: timeout?,
            max_body: body?,
            max_answer: answer?,
        })
    }
}

/// Reads the `class` key of a kind.
pub(super) fn read_class(
    file: &IniFile,
    section: &IniSection,
) -> Option<Class> {
    file.parsed(section, "class", "urgent, normal or deferrable")
}
