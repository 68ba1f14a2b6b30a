//! The cost of one turn of the queue at the target's size.

use {
    super::decision_cost::crowded_view,
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

/// The workers of the target's fleet.
const WORKERS: u32 = 950;

/// The jobs that run, each with one member.
const RUNNING: [u32; 2] = [840, 17_000];

/// The jobs that wait.
const WAITING: [u32; 3] = [100, 1_000, 5_000];

/// The number of accounts.
const ACCOUNTS: u32 = 44;

/// Measures a first turn, a turn in which nothing has changed, and the removal of all waiting jobs.
///
/// # Errors
/// [`BenchError::Failed`] when the document is not valid.
pub(super) fn measure_turn_cost(cx: &BenchCx) -> Result<Table, BenchError> {
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
    let view = crowded_view(WORKERS, cx.seed);
    for running in RUNNING {
        for waiting in WAITING {
            let mut queue = filled_queue(&document, &view, running, waiting);
            let before = queue.waiting_len();
            let first_ms = time_turn(&mut queue, &document, view.clone());
            let started = before - queue.waiting_len();
            let next_ms = time_turn(&mut queue, &document, view.clone());
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

/// Returns the time of a first turn with the target's running tasks, in milliseconds.
///
/// # Errors
/// [`BenchError::Failed`] when the document is not valid.
pub(super) fn time_first_turn(
    waiting: u32,
    seed: u64,
) -> Result<f64, BenchError> {
    let document = Document::parse("target.ini", &document_text());
    let document = document.map_err(|e| BenchError::Failed(e.to_string()))?;
    let view = crowded_view(WORKERS, seed);
    let running = RUNNING[RUNNING.len() - 1];
    let mut queue = filled_queue(&document, &view, running, waiting);
    Ok(time_turn(&mut queue, &document, view))
}

/// Returns a document with the target's accounts and three kinds of jobs.
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

/// Takes a turn and returns its time, in milliseconds.
fn time_turn(
    queue: &mut JobQueue,
    document: &Document,
    view: FleetView,
) -> f64 {
    let mix = Rc::new(ShapeMix::of(document));
    let began = Instant::now();
    queue.run_pass(PassCx {
        now: Millis(1_000),
        document,
        mix,
        policy: &WeighedPlacement,
        rules: &WeighedRules,
        view,
    });
    began.elapsed().as_secs_f64() * 1e3
}

/// Removes the waiting jobs and returns the time of one removal, in microseconds.
fn time_removal(
    queue: &mut JobQueue,
    waiting: u32,
) -> f64 {
    let began = Instant::now();
    for i in 0..waiting {
        queue.remove(JobId(u64::from(i) + 1));
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(waiting)
}
