//! The scheduler's view of a worker.

use {
    crate::{
        connection::{RunPhase, WorkerIncarnation},
        prelude::*,
        request::{Resources, RunRef, StepJobId, UnitId},
    },
    std::collections::BTreeMap,
};

/// The greatest age of a worker's last report at which runs are still started there.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1300);

/// How long a worker may leave its guard's polls unanswered before no more runs are started there,
/// in milliseconds.
const MAX_WORKER_UNRESPONSIVE_MS: u64 = 2000;

/// The number of the message of an order that was not sent yet.
pub(super) const NOT_SENT: u64 = u64::MAX;

/// A run that the scheduler has ordered or found on a worker, and whose demand it counts there.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRun {
    /// The job and unit, or `None` for a run that belongs to no active unit.
    pub unit: Option<(StepJobId, UnitId)>,
    /// The resources that it uses.
    pub demand: Resources,
    /// The phase in the last report.
    pub phase: RunPhase,
    /// The latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// The part of its work that is done, in percent.
    pub progress_percent: u64,
    /// The number within the session of the message that ordered it: the greatest one before that is
    /// sent, and 0 for a run that was found or was ordered in an earlier session.
    pub order_message_number: u64,
    /// When it was ordered or found.
    pub known_since: Millis,
    /// Whether it was ordered to stop.
    pub is_stopping: bool,
    /// The number within the session of the message that ordered the stop: the greatest one before
    /// that is sent.
    pub stop_message_number: u64,
}

/// The state of a worker, as its guard reports it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamState {
    /// Whether a session with its guard is open.
    pub is_connected: bool,
    /// Whether its guard is being deregistered.
    pub is_deregistering: bool,
    /// The offset after the record that deregisters the guard, once that is stored.
    pub deregistered_before: Option<u64>,
    /// When the guard's record was first read.
    pub registered_at: Millis,
    /// The number of the guard's registration that was read from the ledger.
    pub stored_registration: Option<u64>,
    /// The number of the guard's registration in its last report; `None` before its first one is
    /// stored.
    pub reported_registration: Option<u64>,
    /// Whether a report that describes the worker was received in the session.
    pub has_session_report: bool,
    /// The worker incarnation that the last report described.
    pub incarnation: Option<WorkerIncarnation>,
    /// The service that it works for.
    pub service: Arc<str>,
    /// Its whole capacity.
    pub capacity: Resources,
    /// Its labels, the rack last.
    pub labels: Vec<Arc<str>>,
    /// Its data centre; `None` if its guard reports none.
    pub data_centre: Option<DataCentre>,
    /// When it was first reported as leaving.
    pub leaving_since: Option<Millis>,
    /// The earliest time at which it leaves, if it has announced that.
    pub leaves_at: Option<Millis>,
    /// When the last report was received.
    pub last_report_at: Option<Millis>,
    /// The time from which the leases of its runs count: the last report that describes the worker,
    /// or the last time at which its guard was able to extend them without one.
    pub leased_at: Option<Millis>,
    /// The time since the worker's last answer to its guard, as of the last report, in
    /// milliseconds.
    pub unresponsive_ms: u64,
    /// The guard's clock in the last report of the session, in milliseconds.
    pub guard_clock_ms: Option<u64>,
    /// The runs that are or may be there.
    pub runs: BTreeMap<RunRef, PlacedRun>,
    /// The ends that are not acknowledged yet, by number, each with the job's change that has to be
    /// recorded first.
    pub unacknowledged_ends: BTreeMap<u64, Option<(StepJobId, u64)>>,
    /// The number of the last end that was applied.
    pub last_applied_end: u64,
    /// The number of the last end whose effect is recorded, so that the worker may forget it.
    pub acknowledged_end: u64,
    /// The time until which nothing is started there.
    pub avoid_until: Millis,
    /// The number of runs that have failed since the last one that finished its work.
    pub consecutive_failures: u32,
}

impl UpstreamState {
    /// Returns whether runs may be started there.
    pub fn is_usable(
        &self,
        now: Millis,
    ) -> bool {
        let is_report_recent = self
            .last_report_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        // Until the guard has polled the worker in this session, its runs are unknown, and a start
        // ordered before that poll would be taken for lost because the poll does not list it.
        self.is_connected
            && self.has_session_report
            && !self.is_deregistering
            && self.is_registered()
            && is_report_recent
            && self.incarnation.is_some()
            && self.leaving_since.is_none()
            && self.unresponsive_ms < MAX_WORKER_UNRESPONSIVE_MS
            && self.avoid_until <= now
    }

    /// Returns whether the guard's present registration was read from the ledger. An entry that
    /// takes over waits for registered guards only, so nothing may be started on another one.
    pub fn is_registered(&self) -> bool {
        self.stored_registration.is_some()
            && (self.reported_registration.is_none()
                || self.reported_registration == self.stored_registration)
    }

    /// Records that a message with orders is sent.
    pub(super) fn record_sent<'a, I>(
        &mut self,
        starts: I,
        stops: &[RunRef],
        number: u64,
    ) where
        I: Iterator<Item = &'a RunRef>,
    {
        for run in starts {
            if let Some(placed) = self.runs.get_mut(run) {
                placed.order_message_number = number;
            }
        }
        for run in stops {
            if let Some(placed) = self.runs.get_mut(run) {
                placed.stop_message_number = number;
            }
        }
    }

    /// Returns the capacity that no run uses.
    pub fn free_capacity(&self) -> Resources {
        let used = self.runs.values().map(|r| r.demand);
        self.capacity
            .saturating_sub(&used.fold(Resources::default(), |a, b| a + b))
    }

    /// Returns the worker's rack, which is its last label.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
