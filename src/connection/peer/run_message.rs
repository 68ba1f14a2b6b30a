//! The messages between the scheduling entry and a guard.

use {
    crate::{
        prelude::*,
        request::{Resources, RunRef},
    },
    serde::{Deserialize, Serialize},
};

/// One life of a worker.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct WorkerLife {
    /// The worker's id.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch by its own clock.
    pub born_ms: u64,
}

/// What the scheduling entry tells a guard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GuardOrders {
    /// The fencing token of this session; a guard serves the highest only.
    pub token: u64,
    /// The number of the message within the session, counted from 1.
    pub number: u64,
    /// The guard's own time, in milliseconds, as in its latest report; the lease counts from it.
    pub echo_ms: u64,
    /// How long the guard may go on extending its worker's lease without another message, in
    /// milliseconds.
    pub guard_lease_ms: u64,
    /// How long the worker may run on without its guard, in milliseconds.
    pub worker_lease_ms: u64,
    /// The worker that the orders are for; a guard passes over orders for another one.
    pub worker: Option<WorkerLife>,
    /// What to start.
    pub starts: Vec<RunStart>,
    /// What to stop.
    pub stops: Vec<RunRef>,
    /// The number of the last end that is recorded.
    pub noted_end: u64,
}

/// An order to start a subtask.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunStart {
    /// The run.
    pub run: RunRef,
    /// What the worker is told to run.
    pub payload: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
}

/// What a guard reports.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GuardReport {
    /// The session's fencing token.
    pub token: u64,
    /// The number of the last message of the session that was carried out.
    pub handled: u64,
    /// The guard's own time, in milliseconds.
    pub clock_ms: u64,
    /// The highest fencing token that is known; above the session's, the session is over.
    pub highest_token: u64,
    /// The worker.
    pub worker: WorkerView,
}

/// What a guard can say of the worker on its machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum WorkerView {
    /// No worker was heard since the guard's start, or it was not looked at under the session's token
    /// yet. It may run something.
    Unknown,
    /// The worker has ended, and no other one was heard. Nothing runs there.
    Gone,
    /// The worker was looked at.
    Known(WorkerReport),
}

/// What a guard knows of its worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Which life of the worker it is.
    pub life: WorkerLife,
    /// The service that it works for.
    pub service: Arc<str>,
    /// What it has in all.
    pub capacity: Resources,
    /// Its labels, its rack among them.
    pub labels: Vec<Arc<str>>,
    /// Whether it leaves, with the least time that is left, in milliseconds.
    pub leaving_ms: Option<u64>,
    /// How long ago the worker last answered, in milliseconds.
    pub silent_ms: u64,
    /// Everything that runs there or may run there.
    pub runs: Vec<RunStatus>,
    /// The ends that are not recorded yet.
    pub ends: Vec<RunEnd>,
    /// Starts that the worker refused since the session began.
    pub refused: Vec<RefusedStart>,
}

/// How far a run is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RunPhase {
    /// The start is on its way to the worker.
    Starting,
    /// The worker runs it.
    Running,
    /// It is being stopped, or its start got no answer and is being undone.
    Stopping,
}

/// One run at a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunRef,
    /// How far it is.
    pub phase: RunPhase,
    /// Its latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
    /// How much of its work is done, in percent.
    pub percent: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// It finished its work.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// The end of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunEnd {
    /// The number that the worker gave it.
    pub number: u64,
    /// The run.
    pub run: RunRef,
    /// How it ended.
    pub kind: EndKind,
    /// Its latest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum StartRefusal {
    /// A higher fencing token is known there.
    Fenced,
    /// The run is not higher than one that was stopped or ended.
    Old,
    /// The lease was already over.
    Late,
    /// There is no room.
    NoRoom,
    /// The worker is unhealthy or does not take the order.
    Unhealthy,
    /// No connection could be made, or the start got no answer and was undone.
    NotReached,
}

/// A start that did not come about.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RefusedStart {
    /// The run.
    pub run: RunRef,
    /// Why.
    pub reason: StartRefusal,
}
