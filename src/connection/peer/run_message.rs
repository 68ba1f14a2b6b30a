//! The messages between the leading entry and a guard about the runs on its worker.

use {
    super::last_field::{none_if_missing, true_if_missing},
    crate::{
        prelude::*,
        request::{Resources, RunRef},
    },
    serde::{Deserialize, Serialize},
};

/// One incarnation of a worker: the time from one start to its end.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkerIncarnation {
    /// The worker's ID.
    pub id: Arc<str>,
    /// The worker's start time, in milliseconds since the Unix epoch by its own clock.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

/// A message from the leading entry to a guard: leases, and the runs to start and stop.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GuardOrders {
    /// The fencing token of the session; a guard obeys only the highest token.
    pub token: u64,
    /// The message number within the session, counted from 1.
    pub number: u64,
    /// The guard's clock in its latest report of the session, in milliseconds; the guard's lease
    /// starts from it. Without a report there is no lease.
    #[serde(rename = "echo_ms")]
    pub echoed_clock_ms: u64,
    /// How long the guard may keep extending its worker's lease without another message, in
    /// milliseconds.
    pub guard_lease_ms: u64,
    /// How long the worker may keep running without contact to its guard, in milliseconds.
    pub worker_lease_ms: u64,
    /// The worker that the orders are for; a guard ignores orders for another worker.
    pub worker: Option<WorkerIncarnation>,
    /// The runs to start.
    pub starts: Vec<RunStart>,
    /// The runs to stop.
    pub stops: Vec<RunRef>,
    /// The number of the last end that the entry has recorded.
    #[serde(rename = "noted_end")]
    pub acknowledged_end: u64,
}

/// An order to start a subtask.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunStart {
    /// The run.
    pub run: RunRef,
    /// The payload that is passed to the worker.
    pub payload: Arc<str>,
    /// The checkpoint to resume from, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// A guard's report to the leading entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GuardReport {
    /// The session's fencing token.
    pub token: u64,
    /// The number of the last message of the session that the guard has handled.
    #[serde(rename = "handled")]
    pub last_handled: u64,
    /// The guard's clock, in milliseconds.
    pub clock_ms: u64,
    /// The highest fencing token that the guard has received; if it is above `token`, the session
    /// is over.
    pub highest_token: u64,
    /// The state of the guard's worker.
    pub worker: WorkerView,
    /// The number of the guard's registration; `None` while it is not known to be stored.
    pub registration: Option<u64>,
    /// The time since the guard was last able to extend the worker's lease, in milliseconds; `None`
    /// if the worker has not answered it since its start.
    pub lease_age_ms: Option<u64>,
    /// Whether the worker's report has all of its runs and unacknowledged ends. Otherwise, it is
    /// unknown how a run has ended that is missing there. The guards of earlier versions do not send
    /// this field, and their reports count as complete.
    #[serde(deserialize_with = "true_if_missing")]
    pub lists_all_runs: bool,
    /// The data centre of the guard and its worker; `None` if it is not known. The guards of the
    /// previous version do not send this field.
    #[serde(deserialize_with = "none_if_missing")]
    pub data_centre: Option<DataCentre>,
}

/// What a guard has observed of the worker on its machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkerView {
    /// No worker has answered since the guard's start, or the worker has not been polled with the
    /// session's token yet. Runs may exist on it.
    Unknown,
    /// The worker has ended and no other one has answered. It has no runs.
    #[serde(rename = "Gone")]
    Ended,
    /// The worker has been polled.
    Known(WorkerReport),
}

/// The state of a worker as its guard last observed it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// The incarnation of the worker.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The service that the worker belongs to.
    pub service: Arc<str>,
    /// The worker's total resources.
    pub capacity: Resources,
    /// The worker's labels, including its rack.
    pub labels: Vec<Arc<str>>,
    /// The minimum time until the worker leaves, in milliseconds; `None` if it is not leaving.
    #[serde(rename = "leaving_ms")]
    pub remaining_ms: Option<u64>,
    /// The time since the worker last answered, in milliseconds.
    #[serde(rename = "silent_ms")]
    pub unresponsive_ms: u64,
    /// All runs that exist or may exist on the worker.
    pub runs: Vec<RunStatus>,
    /// The ends that the entry has not acknowledged yet.
    pub ends: Vec<RunEnd>,
    /// The starts that were refused since the session began.
    pub refused: Vec<RefusedStart>,
}

/// The phase of a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunPhase {
    /// The start has not been confirmed by the worker yet.
    Starting,
    /// The worker runs it.
    Running,
    /// The run is being stopped, or its start was not answered and is being undone.
    Stopping,
}

/// The status of one run on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunRef,
    /// The phase.
    pub phase: RunPhase,
    /// The latest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
    /// The completed share of the work, in percent.
    #[serde(rename = "percent")]
    pub progress_percent: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The run finished its work.
    Done,
    /// The run failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// The end of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunEnd {
    /// The number that the worker assigned to the end.
    pub number: u64,
    /// The run.
    pub run: RunRef,
    /// How the run ended.
    pub kind: EndKind,
    /// The latest checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// Why a run was not started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum StartRefusal {
    /// The worker has received a higher fencing token.
    Fenced,
    /// The run's number is not above that of a run of the same subtask that was stopped or has
    /// ended.
    Old,
    /// The lease had already expired.
    Late,
    /// The worker has not enough free capacity.
    NoRoom,
    /// The worker is unhealthy or rejected the order.
    Unhealthy,
    /// No connection could be made, or the start was not answered and was undone.
    NotReached,
}

/// A start that was refused.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusedStart {
    /// The run.
    pub run: RunRef,
    /// The reason.
    pub reason: StartRefusal,
}
