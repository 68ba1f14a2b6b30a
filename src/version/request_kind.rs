//! Kinds of requests.

use {
    super::{IniFile, IniSection, KindName, parse_bool, parse_bytes, parse_duration},
    derive_more::{Display, FromStr},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The urgency of a request or job.
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
    /// Has the highest priority. Its jobs may preempt deferrable ones.
    #[display("urgent")]
    Urgent,
    /// Has a priority between the other two.
    #[display("normal")]
    Normal,
    /// May wait overnight. Its running jobs may be preempted by urgent ones if they are evictable.
    #[display("deferrable")]
    Deferrable,
}

/// A kind of request that callers may send.
#[derive(Clone, Debug, Serialize)]
pub struct RequestKind {
    /// The name, which is part of the request's path.
    pub name: KindName,
    /// The urgency of its requests.
    pub class: Class,
    /// Whether running a request twice has the same effect as running it once, so that it may be
    /// retried.
    pub idempotent: bool,
    /// The maximum run time of a request on an upstream.
    pub timeout: Duration,
    /// The maximum size of a request body, in bytes.
    pub max_body: u64,
    /// The maximum size of an answer, in bytes.
    pub max_answer: u64,
    /// The maximum number of its requests at upstreams at once, divided among the live entries;
    /// `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// The maximum number of its requests accepted per second, divided among the live entries;
    /// `None` for no limit.
    pub max_rate_per_s: Option<u32>,
}

/// The upper bound on the size of a body or answer of any kind, in bytes. It has to fit into one
/// frame of the connection to a guard.
pub const MAX_PAYLOAD_BYTES: u64 = 4 << 20;

impl RequestKind {
    /// Reads a `[request-kind NAME]` section and records faults in `file`. Returns `None` if a
    /// required key is missing or not valid.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let class = read_class(file, section);
        let idempotent = file.required(section, "idempotent", "yes or no", parse_bool);
        let timeout = file.required(section, "timeout", "a duration such as 30s", parse_duration);
        let body = read_size(file, section, "max_body");
        let answer = read_size(file, section, "max_answer");
        let in_flight = read_limit(file, section, "max_in_flight");
        let rate = read_limit(file, section, "max_rate_per_s");
        Some(Self {
            name: section.name.as_str().into(),
            class: class?,
            idempotent: idempotent?,
            timeout: timeout?,
            max_body: body?,
            max_answer: answer?,
            max_in_flight: in_flight,
            max_rate_per_s: rate,
        })
    }
}

/// Reads the `class` key of a request kind or job kind.
pub(super) fn read_class(
    file: &IniFile,
    section: &IniSection,
) -> Option<Class> {
    file.required_from_str(section, "class", "urgent, normal or deferrable")
}

/// Reads the maximum size of a body or answer, in bytes.
fn read_size(
    file: &IniFile,
    section: &IniSection,
    key: &str,
) -> Option<u64> {
    let expected = "a size up to 4MiB, such as 64KiB";
    let parse = |v: &str| parse_bytes(v).filter(|size| *size <= MAX_PAYLOAD_BYTES);
    file.required(section, key, expected, parse)
}

/// Reads an optional limit.
fn read_limit(
    file: &IniFile,
    section: &IniSection,
    key: &str,
) -> Option<u32> {
    file.optional(section, key, "a whole number, 1 or more", |v| {
        v.parse().ok().filter(|limit| *limit > 0)
    })
}
