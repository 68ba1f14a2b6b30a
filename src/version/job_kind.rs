//! Kinds of jobs.

use {
    super::{
        Adjacency, Class, IniFile, IniSection, KindName, Shape, parse_bool, parse_duration,
        request_kind::read_class,
    },
    serde::Serialize,
    std::time::Duration,
};

/// A kind of job that accounts may submit.
#[derive(Clone, Debug, Serialize)]
pub struct JobKind {
    /// The name.
    pub name: KindName,
    /// The urgency of its jobs.
    pub class: Class,
    /// The shape of its gangs: members, accelerators of each member, and adjacency.
    pub gang: Shape,
    /// The run time that the owner of the document expects.
    pub run_time: Duration,
    /// Whether its tasks can write a checkpoint, so that an eviction loses no work.
    pub checkpoint: bool,
    /// Whether its tasks may be stopped and restarted from the beginning.
    pub stoppable: bool,
    /// The number of failed attempts after which a job fails.
    pub max_attempts: u32,
}

impl JobKind {
    /// Reads a `[job-kind NAME]` section and records faults in `file`. Returns `None` if a required
    /// key is missing or not valid.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let class = read_class(file, section);
        let gang: Option<Shape> =
            file.required_from_str(section, "gang", "a shape such as 2x8 rack");
        let run_time = file.required(section, "run_time", "a duration such as 2h", parse_duration);
        let checkpoint = file.required(section, "checkpoint", "yes or no", parse_bool);
        let stoppable = file.required(section, "stoppable", "yes or no", parse_bool);
        let attempts = file.optional(section, "max_attempts", "a whole number from 1", |v| {
            v.parse().ok().filter(|a| *a >= 1)
        });
        let kind = Self {
            name: section.name.as_str().into(),
            class: class?,
            gang: gang?,
            run_time: run_time?,
            checkpoint: checkpoint?,
            stoppable: stoppable?,
            max_attempts: attempts.unwrap_or(3),
        };
        if kind.gang.members > Self::MAX_MEMBERS {
            file.report_fault(section, "gang", "a gang has at most 64 members");
        }
        if kind.gang.adjacency == Adjacency::Worker && kind.gang.members > 1 {
            file.report_fault(
                section,
                "gang",
                "several members cannot share a worker; write 1xN worker",
            );
        }
        Some(kind)
    }

    /// The maximum number of members of one gang.
    pub const MAX_MEMBERS: u32 = 64;

    /// Returns whether its tasks may be evicted before they finish.
    pub fn is_evictable(&self) -> bool {
        self.checkpoint || self.stoppable
    }
}
