//! Measures the time of one scheduling pass at the target size.

use {
    super::decision_cost::loaded_fleet_view,
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError, Table},
            job_queue::{HeldCapacity, JobQueue, PassCx, RunningJob, WaitingJob, WeighedRules},
        },
        request::{FleetView, ShapeMix, WeighedPlacement},
        version::JobKind,
    },
    std::time::Instant,
};

/// The number of workers at the target.
const WORKERS: u32 = 950;

/// The numbers of running jobs, each of which holds one plain task on one worker.
const RUNNING_JOBS: [u32; 2] = [840, 17_000];

/// The numbers of waiting jobs.
const WAITING_JOBS: [u32; 3] = [100, 1_000, 5_000];

const ACCOUNTS: u32 = 44;

/// Measures a first scheduling pass, a second pass over the same view of the fleet, and the removal
/// of the jobs that were added as waiting.
///
/// # Errors
/// [`BenchError::Failed`] when the document is not valid.
pub(super) fn measure_pass_cost(cx: &BenchCx) -> Result<Table, BenchError> {
    let columns = [
        "running",
        "waiting",
        "started",
        "first turn ms",
        "next turn ms",
        "removal us / job",
    ];
    let mut table = Table::new("placement-turn-cost", &columns);
    let document = Document::parse("target.ini", &document_text());
    let document = document.map_err(|e| BenchError::Failed(e.to_string()))?;
    let view = loaded_fleet_view(WORKERS, cx.seed);
    for running in RUNNING_JOBS {
        for waiting in WAITING_JOBS {
            let mut queue = filled_queue(&document, &view, running, waiting);
            let waiting_before = queue.waiting_len();
            let first_ms = time_pass(&mut queue, &document, view.clone());
            let started = waiting_before - queue.waiting_len();
            let next_ms = time_pass(&mut queue, &document, view.clone());
            table.push_row(vec![
                running.to_string(),
                waiting.to_string(),
                started.to_string(),
                format!("{first_ms:.1}"),
                format!("{next_ms:.1}"),
                format!("{:.2}", time_removal(&mut queue, waiting)),
            ]);
        }
    }
    Ok(table)
}

/// Returns the time of a first scheduling pass with the target's running tasks, in milliseconds.
///
/// # Errors
/// [`BenchError::Failed`] when the document is not valid.
pub(super) fn time_first_pass(
    waiting: u32,
    seed: u64,
) -> Result<f64, BenchError> {
    let document = Document::parse("target.ini", &document_text());
    let document = document.map_err(|e| BenchError::Failed(e.to_string()))?;
    let view = loaded_fleet_view(WORKERS, seed);
    let running = RUNNING_JOBS[RUNNING_JOBS.len() - 1];
    let mut queue = filled_queue(&document, &view, running, waiting);
    Ok(time_pass(&mut queue, &document, view))
}

/// Returns a document with the target's accounts and one job kind for each class.
fn document_text() -> String {
    let mut text = "[service]\nname = target\ncompletion_weight = 0.5\n\
         fragmentation_weight = 0.5\nlink_price_ms_per_kib = 1\n"
        .to_owned();
    for i in 0..ACCOUNTS {
        text += &format!(
            "[account team-{i}]\nkey = {i:064x}\nquota_accelerators = 1800\nmax_in_flight = 1\n\
             max_queued = 1\nmax_jobs = 10000\nmax_rate_per_s = 1\nmax_wait = 1s\n"
        );
    }
    for (class, gang) in [
        ("urgent", "2x2 rack"),
        ("normal", "8x2 data-centre"),
        ("deferrable", "1x1 any"),
    ] {
        text += &format!(
            "[job-kind {class}]\nclass = {class}\ngang = {gang}\nrun_time = 2h\n\
             checkpoint = yes\nstoppable = yes\n"
        );
    }
    text
}

/// Returns a queue with running and waiting jobs of all accounts and kinds.
fn filled_queue(
    document: &Document,
    view: &FleetView,
    running: u32,
    waiting: u32,
) -> JobQueue {
    let mut queue = JobQueue::default();
    let kinds: Vec<Rc<JobKind>> = document.job_kinds.values().cloned().map(Rc::new).collect();
    let account = |i: u32| format!("team-{}", i % ACCOUNTS).as_str().into();
    for i in 0..running {
        let worker = i as usize % view.capacities.len();
        queue.adopt(RunningJob {
            id: JobId(u64::from(i) + 1_000_000),
            account: account(i),
            kind: kinds[0].clone(),
            held: vec![HeldCapacity {
                upstream: view.upstream_of(worker).clone(),
                accelerators: AcceleratorSet::empty(),
                plain_tasks: 1,
            }],
            started_at: Millis(0),
            waited_since: Millis(0),
            progress: Duration::ZERO,
            preempted: false,
        });
    }
    for i in 0..waiting {
        queue.add(WaitingJob {
            id: JobId(u64::from(i) + 1),
            account: account(i),
            kind: kinds[i as usize % kinds.len()].clone(),
            waiting_since: Millis(0),
            progress: Duration::ZERO,
        });
    }
    queue
}

/// Runs a scheduling pass and returns its time, in milliseconds.
fn time_pass(
    queue: &mut JobQueue,
    document: &Document,
    view: FleetView,
) -> f64 {
    let mix = Rc::new(ShapeMix::of(document));
    let started_at = Instant::now();
    queue.run_pass(PassCx {
        now: Millis(1_000),
        document,
        mix,
        policy: &WeighedPlacement,
        rules: &WeighedRules,
        view,
    });
    started_at.elapsed().as_secs_f64() * 1e3
}

/// Removes the jobs that [`filled_queue`] added as waiting, and returns the mean time of a removal,
/// in microseconds.
fn time_removal(
    queue: &mut JobQueue,
    waiting: u32,
) -> f64 {
    let started_at = Instant::now();
    for i in 0..waiting {
        queue.remove(JobId(u64::from(i) + 1));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(waiting)
}
