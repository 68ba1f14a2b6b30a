//! Tests of when a job counts as started, for its caller and for the number of pending jobs.

use {
    super::one_guard::{heartbeat, job_of, leader, listing, open_job, response, scheduler, worker},
    limpetquay::{
        connection::{EndKind, RunEnd, StartRefusal},
        prelude::*,
        process::{
            ledger::{JobView, LedgerFold, LedgerKey, LedgerRecord},
            runs::{PollResponse, RunTracker, WorkerHeartbeat, WorkerInfo},
            scheduler::Scheduler,
        },
        request::{Resources, RunRef, Step, StepJob, StepJobId},
    },
};

/// A leader, its only guard, and what an entry reads of the leader's records.
struct Deployment {
    scheduler: Scheduler,
    name: UpstreamName,
    guard: RunTracker,
    fold: LedgerFold,
    job: JobView,
    now: Millis,
    observed: Vec<String>,
}

impl Deployment {
    fn new(job: JobView) -> Self {
        let (scheduler, name) = leader(&job);
        let mut deployment = Self {
            scheduler,
            name,
            guard: RunTracker::default(),
            fold: LedgerFold::default(),
            job,
            now: Millis(0),
            observed: Vec::new(),
        };
        let id = deployment.job.job.id;
        let record = LedgerRecord::Job((*deployment.job.job).clone());
        let record = LedgerKey::Job(id).record(&record).expect("a record");
        deployment.fold.apply(&record, Millis(0));
        deployment.connect(heartbeat());
        deployment
    }

    /// Opens the first session with the guard of a worker that runs nothing.
    fn connect(
        &mut self,
        heartbeat: WorkerHeartbeat,
    ) {
        self.scheduler.open_session(&self.name);
        self.guard.apply_heartbeat(heartbeat, self.now);
        self.guard.open_session(1);
        self.poll(response(true));
    }

    /// Lets 400 ms pass, in which a worker that has refused a start is used again, runs a
    /// scheduling pass and passes the orders to the guard. Returns the run that it ordered.
    fn order(&mut self) -> RunRef {
        self.now += Millis(400);
        self.scheduler.confirm_leadership(self.now);
        self.scheduler.run_pass(self.now, self.now);
        let orders = self.scheduler.next_message(&self.name, 1);
        self.guard.apply_orders(&orders, self.now);
        orders.starts[0].run
    }

    /// Passes the worker's lists to the guard and the guard's report to the leader.
    fn poll(
        &mut self,
        response: PollResponse,
    ) {
        self.now += Millis(10);
        self.guard.apply_poll(1, self.now, self.now, response);
        self.report();
    }

    fn report(&mut self) {
        let report = self.guard.report(self.now);
        self.scheduler.apply_report(&self.name, report, self.now);
    }

    /// Records the progress of the jobs and notes what callers are told.
    fn observe(
        &mut self,
        what: &str,
    ) {
        let unrecorded: Vec<_> = self.scheduler.unrecorded_jobs().collect();
        for (id, _) in unrecorded {
            let progress = self.scheduler.progress_to_record(id);
            let (change, progress) = progress.expect("a job that is open");
            let record = LedgerKey::Progress(id).record(&LedgerRecord::Progress(progress));
            self.fold.apply(&record.expect("a record"), self.now);
            self.scheduler.mark_recorded(id, change);
        }
        let phase = self.fold.jobs[&self.job.job.id].phase();
        let pending = self.fold.pending_jobs(&self.job.job.queue);
        self.observed
            .push(format!("{what}: {phase:?}, {pending} pending"));
    }
}

/// Guards against jobs that are not counted as pending, and are shown as in progress, although no
/// subtask of them was started: their starts were ordered and then refused or lost. Review case 9.
#[test]
fn a_job_is_pending_until_a_worker_has_started_a_subtask() {
    let mut deployment = Deployment::new(open_job());
    deployment.observe("accepted");
    let run = deployment.order();
    deployment.observe("ordered");
    deployment.report();
    deployment.observe("reported as starting");
    deployment.guard.refuse_start(run, StartRefusal::NotReached);
    deployment.report();
    deployment.observe("refused");
    let run = deployment.order();
    deployment.guard.confirm_start(run, deployment.now);
    deployment.report();
    deployment.observe("started");
    deployment.poll(listing(None));
    deployment.observe("lost");
    deployment.order();
    deployment.observe("ordered again");
    let expected = [
        "accepted: Queued, 1 pending",
        "ordered: Queued, 1 pending",
        "reported as starting: Queued, 1 pending",
        "refused: Queued, 1 pending",
        "started: Running, 0 pending",
        "lost: Running, 0 pending",
        "ordered again: Running, 0 pending",
    ];
    assert_eq!(deployment.observed, expected);
}

/// Guards against a job that stays pending although a subtask has started: its run is over before a
/// report lists it as running, so only its end shows that it began.
#[test]
fn the_end_of_a_run_shows_that_it_was_started() {
    for kind in [
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::Broken,
        EndKind::Alone,
    ] {
        let mut deployment = Deployment::new(open_job());
        let run = deployment.order();
        deployment.poll(PollResponse {
            ended: vec![RunEnd {
                number: 1,
                run,
                kind,
                checkpoint: None,
            }],
            ..response(true)
        });
        deployment.observe("ended");
        assert_eq!(
            deployment.observed,
            ["ended: Running, 0 pending"],
            "{kind:?}"
        );
    }
}

/// Guards against a job that is shown as in progress after a takeover because the new leader finds
/// an order of the one before at a guard, of which it is unknown whether the worker has started it.
#[test]
fn an_order_that_a_new_leader_finds_is_no_start() {
    let mut deployment = Deployment::new(open_job());
    let run = deployment.order();
    let guards = [&deployment.name.clone()];
    deployment.scheduler = scheduler(2, &guards);
    deployment.scheduler.apply_job(&deployment.job);
    deployment.scheduler.open_session(&deployment.name);
    deployment.report();
    deployment.observe("found as starting");
    deployment.guard.confirm_start(run, deployment.now);
    deployment.report();
    deployment.observe("found as running");
    let expected = [
        "found as starting: Queued, 1 pending",
        "found as running: Running, 0 pending",
    ];
    assert_eq!(deployment.observed, expected);
}

/// A job of one subtask with a demand of accelerators.
fn job_with(
    number: u64,
    accelerators: u64,
) -> JobView {
    let view = job_of(1, "payload");
    let job = StepJob {
        id: StepJobId::from_number(number),
        steps: vec![Step {
            count: 1,
            demand: Resources {
                accelerators,
                ..Resources::default()
            },
            ..Step::default()
        }],
        ..(*view.job).clone()
    };
    JobView {
        job: Rc::new(job),
        ..view
    }
}

/// Guards against a large job that waits without end behind smaller ones: it has the worker that is
/// free first reserved, also while the unit that occupies that worker is not known to have started.
#[test]
fn a_worker_of_a_unit_that_is_starting_can_be_reserved() {
    let jobs = [(1, 6), (2, 8), (3, 2)].map(|(number, n)| job_with(number, n));
    let mut deployment = Deployment::new(jobs[0].clone());
    deployment.guard = RunTracker::default();
    deployment.connect(WorkerHeartbeat {
        worker: worker(),
        sequence: 1,
        info: WorkerInfo {
            capacity: Resources {
                accelerators: 8,
                ..Resources::default()
            },
            ..heartbeat().info
        },
    });
    let first = deployment.order();
    for (job, change) in jobs[1..].iter().zip(2..) {
        deployment.scheduler.apply_job(job);
        deployment.scheduler.mark_recorded(job.job.id, change);
    }
    deployment.now += Millis(100);
    deployment
        .scheduler
        .run_pass(deployment.now, deployment.now);
    let placed = deployment.scheduler.upstreams[&deployment.name].runs.keys();
    let placed: Vec<RunRef> = placed.copied().collect();
    assert_eq!(placed, [first]);
}
