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
    /// The kind's name.
    pub name: KindName,
    /// How urgent its jobs are.
    pub class: Class,
    /// The gang: members, accelerators of each member, and how near the members have to be.
    pub gang: Shape,
    /// The run time that the owner expects.
    pub run_time: Duration,
    /// Whether its tasks can be checkpointed, and so be evicted without losing their work.
    pub checkpoint: bool,
    /// Whether its tasks may be stopped and run again from the start.
    pub stoppable: bool,
    /// The most times a job is started before it is given up.
    pub max_attempts: u32,
}

impl JobKind {
    /// Reads a `[job-kind NAME]` section; faults go to `file`.
    pub fn read(
        file: &IniFile,
        section: &IniSection,
    ) -> Option<Self> {
        let class = read_class(file, section);
        let gang: Option<Shape> = file.parsed(section, "gang", "a shape such as 2x8 rack");
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
            file.fault(section, "gang", "a gang has at most 64 members");
        }
        if kind.gang.adjacency == Adjacency::Worker && kind.gang.members > 1 {
            file.fault(
                section,
                "gang",
                "several members cannot share a worker; write 1xN worker",
            );
        }
        Some(kind)
    }

    /// The most members of one gang.
    pub const MAX_MEMBERS: u32 = 64;

    /// Tells whether its tasks can give their accelerators back before they finish.
    pub fn is_evictable(&self) -> bool {
        self.checkpoint || self.stoppable
    }
}
