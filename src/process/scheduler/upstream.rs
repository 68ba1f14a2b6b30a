//! A worker as the scheduler knows it.

use {
    crate::{
        connection::{RunPhase, WorkerLife},
        prelude::*,
        request::{Resources, RunRef, StepJobId, UnitId},
    },
    std::collections::BTreeMap,
};

/// The oldest report on which something is started there.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1300);

/// How long a worker may not have answered its guard before nothing is started there.
const MAX_WORKER_UNRESPONSIVE_MS: u64 = 2000;

/// A run on a worker, as the scheduler accounts for it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRun {
    /// The job and unit; `None` for a run that no open job knows.
    pub unit: Option<(StepJobId, UnitId)>,
    /// What it takes.
    pub demand: Resources,
    /// How far it is.
    pub phase: RunPhase,
    /// Its latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done, in percent.
    pub progress_percent: u64,
    /// The number of the message that ordered it; 0 for a run that was found.
    pub order_message_number: u64,
    /// When it was ordered or found.
    pub known_since: Millis,
    /// Whether it was told to stop.
    pub is_stopping: bool,
}

/// A worker, by its guard.
#[derive(Clone, Debug, Default)]
pub struct UpstreamState {
    /// Whether a session with its guard is open.
    pub is_connected: bool,
    /// Whether its guard's registration is being dropped.
    pub is_deregistering: bool,
    /// Whether a report with a worker has come in the session.
    pub has_session_report: bool,
    /// The life that the last report was about.
    pub incarnation: Option<WorkerLife>,
    /// The service.
    pub service: Arc<str>,
    /// What it has in all.
    pub capacity: Resources,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// When it was first reported to leave.
    pub leaving_since: Option<Millis>,
    /// When the last report came.
    pub last_report_at: Option<Millis>,
    /// How long the worker had not answered its guard then, in milliseconds.
    pub unresponsive_ms: u64,
    /// The guard's time in the last report, in milliseconds.
    pub guard_clock_ms: u64,
    /// What runs there or may run there.
    pub runs: BTreeMap<RunRef, PlacedRun>,
    /// The ends that wait to be recorded, by number, with the job and the number of its change that
    /// have to be recorded first.
    pub unacknowledged_ends: BTreeMap<u64, Option<(StepJobId, u64)>>,
    /// The highest number of an end that was taken.
    pub last_applied_end: u64,
    /// The number of the last end that is recorded.
    pub acknowledged_end: u64,
    /// Until when nothing is started there.
    pub avoid_until: Millis,
    /// How many failed runs there have been since the last one that did not fail.
    pub consecutive_failures: u32,
}

impl UpstreamState {
    /// Tells whether something may be started there.
    pub fn is_usable(
        &self,
        now: Millis,
    ) -> bool {
        let is_heard = self
            .last_report_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        // Before the session's first look at the worker, what runs there is not known, and a start
        // could not be told from one that is missing in that look.
        self.is_connected
            && self.has_session_report
            && !self.is_deregistering
            && is_heard
            && self.incarnation.is_some()
            && self.leaving_since.is_none()
            && self.unresponsive_ms < MAX_WORKER_UNRESPONSIVE_MS
            && self.avoid_until <= now
    }

    /// Returns the room that is left.
    pub fn free_capacity(&self) -> Resources {
        let taken = self.runs.values().map(|r| r.demand);
        self.capacity
            .less(&taken.fold(Resources::default(), |a, b| a + b))
    }

    /// Returns the rack, which is the last label.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
