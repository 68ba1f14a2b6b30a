//! A scheduler and the real state of one guard, which tests drive message by message.

use limpetquay::{
    connection::{RunPhase, RunStatus, WorkerIncarnation},
    prelude::*,
    process::{
        ledger::JobView,
        runs::{PollResponse, RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo},
        scheduler::{LeaseTerms, RackFirstPlacement, Scheduler},
    },
    request::{JobProgress, Resources, RunRef, Step, StepJob, StepJobId},
    version::QueueName,
};

pub fn worker() -> WorkerAddress {
    WorkerAddress {
        address: "127.0.0.1:1".into(),
        life: WorkerIncarnation {
            id: "w-1".into(),
            started_at_ms: 1,
        },
    }
}

/// An accepted job of one subtask.
pub fn open_job() -> JobView {
    job_of(1, "payload")
}

pub fn job_of(
    count: u32,
    payload: &str,
) -> JobView {
    let job = StepJob {
        id: StepJobId::from_number(1),
        queue: QueueName::from("queue"),
        account: AccountName::from("account"),
        service: "service".into(),
        priority: 1,
        attempts: 4,
        stretch_percent: 300,
        target_ms: 1000,
        payload: payload.into(),
        steps: vec![Step {
            count,
            ..Step::default()
        }],
        recurrence: None,
        accepted_ms: 0,
    };
    JobView {
        memory_bytes: 0,
        job: Rc::new(job),
        offset: 0,
        progress: JobProgress::default(),
        is_cancelled: false,
        is_cancelled_early: false,
        ended_at: None,
    }
}

pub fn tracker() -> RunTracker {
    let mut tracker = RunTracker::default();
    tracker.apply_heartbeat(heartbeat(), Millis(0));
    tracker
}

pub fn heartbeat() -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: worker(),
        sequence: 1,
        info: WorkerInfo {
            service: "service".into(),
            capacity: Resources::default(),
            labels: vec!["r1".into()],
            leaving_ms: None,
        },
    }
}

pub fn response(is_complete: bool) -> PollResponse {
    PollResponse {
        clock_ms: 0,
        born_ms: None,
        running: vec![],
        ended: vec![],
        is_complete,
    }
}

pub fn scheduler(
    term: u64,
    guards: &[&UpstreamName],
) -> Scheduler {
    let policy = Box::new(RackFirstPlacement);
    let guards = guards.iter().copied().cloned().collect();
    let leases = LeaseTerms::new(Millis(6000));
    let mut scheduler = Scheduler::new(term, leases, 3, policy, guards, Millis(0));
    scheduler.set_evacuated(Some(Rc::default()));
    scheduler
}

/// A leader of term 1 that may start `job`, and its only guard, which is registered.
pub fn leader(job: &JobView) -> (Scheduler, UpstreamName) {
    let name = UpstreamName::from("guard-1");
    let mut scheduler = scheduler(1, &[]);
    scheduler.apply_job(job);
    scheduler.mark_recorded(job.job.id, 1);
    scheduler.set_stored_registration(&name, Some(1), Millis(0));
    scheduler.confirm_leadership(Millis(0));
    (scheduler, name)
}

/// A poll response that lists one run.
pub fn listing(run: Option<RunRef>) -> PollResponse {
    let running = run.map(|run| RunStatus {
        run,
        phase: RunPhase::Running,
        checkpoint: None,
        progress_percent: 0,
    });
    PollResponse {
        running: running.into_iter().collect(),
        ..response(true)
    }
}
