//! The cases. Each returns a line for each time that its rule was broken.

use super::{
    fleet::Fleet,
    record::Record,
    worker::{Kind, Worker},
};
use std::{
    collections::BTreeSet,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

type Broken = Vec<String>;

/// A worker as in the small deployments.
const KIND: Kind = Kind {
    cpu_milli: 128_000,
    mem_mb: 262_144,
    gpus: 8,
    rack: "r1-1",
};

const WORKER_PORT: u16 = 8066;
const CONTROL_PORT: u16 = 8526;
const NO_DELAY: Duration = Duration::ZERO;

/// How long a crashed worker is away, in seconds, as in the site file.
const AWAY_S: f64 = 4.5;

/// How long after a heartbeat a worker crashes, in seconds. Its guard misses the next one soon and has
/// deregistered before the worker is back.
const CRASH_DELAY_S: f64 = 1.2;

pub fn run(
    case: &str,
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    match case {
        "late-deregistration" => late_deregistration(has_trouble, record),
        "shut-out" => shut_out(has_trouble, record),
        "prompt-cancel" => prompt_cancel(has_trouble, record),
        "long-specs" => long_specs(has_trouble, record),
        "guard-restart" => guard_restart(has_trouble, record),
        "many-ends" => many_ends(has_trouble, record),
        "same-id" => same_id(has_trouble, record),
        "lost-stop" => lost_stop(has_trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Starts the worker beside a guard.
fn start_worker(
    fleet: &Fleet,
    guard: usize,
    id: &str,
    first: Duration,
) -> io::Result<Arc<Worker>> {
    let guard = &fleet.guards[guard];
    let address = guard.address(WORKER_PORT);
    Worker::start(
        id,
        address,
        guard.address(CONTROL_PORT),
        &KIND,
        first,
        &fleet.record,
    )
}

fn start_workers(fleet: &Fleet) -> io::Result<Vec<Arc<Worker>>> {
    let workers = 0..fleet.guards.len();
    let workers = workers.map(|i| start_worker(fleet, i, &format!("i-{}-1", i + 1), NO_DELAY));
    workers.collect()
}

fn job(
    count: u32,
    cpu: u64,
    mem: u64,
    gpu: u64,
    spec: &str,
) -> String {
    format!(
        "{{\"Spec\":\"{spec}\",\"Steps\":[{{\"Count\":{count},\"Cpu\":{cpu},\"MemMb\":{mem},\
         \"Gpu\":{gpu},\"EstRuntimeMs\":1000}}]}}"
    )
}

/// Submits a job until it is accepted, and returns whether it was.
fn submit(
    fleet: &Fleet,
    id: &str,
    body: &str,
) -> bool {
    for attempt in 0..10 {
        let (status, _) = fleet.client_call(attempt % fleet.entries.len(), "POST", id, body);
        if (200..300).contains(&status) {
            return true;
        }
        sleep(seconds(0.5));
    }
    false
}

fn accept(
    fleet: &Fleet,
    id: &str,
    body: &str,
) -> io::Result<()> {
    if submit(fleet, id, body) {
        return Ok(());
    }
    Err(io::Error::other(format!("job {id} is not accepted")))
}

/// Asks for a job's state until it is `completed` or the time is over.
fn wait_until_completed(
    fleet: &Fleet,
    id: &str,
    limit: Duration,
) -> bool {
    let deadline = Instant::now() + limit;
    let mut entry = 0;
    while Instant::now() < deadline {
        let (_, body) = fleet.client_call(entry % fleet.entries.len(), "GET", id, "");
        if body.contains("\"completed\"") {
            return true;
        }
        entry += 1;
        sleep(seconds(1.0));
    }
    false
}

/// Starts a fleet and runs a first job, so that every process is known to work.
fn start_fleet(
    entries: u8,
    guards: u8,
    record: &Arc<Record>,
) -> io::Result<(Fleet, Vec<Arc<Worker>>)> {
    let fleet = Fleet::start(entries, guards, record)?;
    let workers = start_workers(&fleet)?;
    fleet.wait_until_ready()?;
    accept(
        &fleet,
        "00000000000000aa",
        &job(u32::from(guards), 1000, 100, 8, "ms=300"),
    )?;
    if !wait_until_completed(&fleet, "00000000000000aa", seconds(15.0)) {
        return Err(io::Error::other("the first job does not complete"));
    }
    Ok((fleet, workers))
}

/// Fails unless at least `count` subtasks of the jobs whose ids begin with `prefix` have started, since
/// a check of their runs would otherwise pass for nothing.
fn require_started(
    record: &Record,
    prefix: &str,
    count: usize,
) -> io::Result<()> {
    let runs = record.runs();
    let of_jobs = runs.iter().filter(|r| r.task.starts_with(prefix));
    let tasks: BTreeSet<&str> = of_jobs.map(|r| r.task.as_str()).collect();
    if tasks.len() >= count {
        return Ok(());
    }
    let found = tasks.len();
    Err(io::Error::other(format!(
        "only {found} of {count} subtasks have started"
    )))
}

fn overlaps(record: &Record) -> Broken {
    let pairs = record.overlapping_runs().into_iter();
    let pairs = pairs.map(|(a, b)| format!("TWICE: {a:?} and {b:?}"));
    pairs.collect()
}

/// A worker crashes and is back after 4.5 s. The store does not answer the append by which its guard
/// deregisters meanwhile, and does it 4 s later.
fn late_deregistration(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (fleet, mut workers) = start_fleet(3, 3, record)?;
    let is_late = Arc::new(AtomicBool::new(false));
    if has_trouble {
        let name = format!("member/{}", fleet.guards[0].name);
        let (own, seen) = (record.clone(), is_late.clone());
        fleet.store.set_lateness(Some(Box::new(move |_, records| {
            let is_tombstone = records
                .iter()
                .any(|(key, value)| *key == name && value.is_empty());
            if is_tombstone {
                seen.store(true, Ordering::SeqCst);
                own.line("the store does not answer a deregistration and does it 4 s later");
            }
            is_tombstone.then(|| seconds(4.0))
        })));
        workers[0].crash_after_heartbeat(seconds(CRASH_DELAY_S));
    }
    sleep(seconds(AWAY_S));
    if has_trouble {
        if !is_late.load(Ordering::SeqCst) {
            return Err(io::Error::other("the guard has not deregistered"));
        }
        workers[0] = start_worker(&fleet, 0, "i-1-2", NO_DELAY)?;
    }
    sleep(seconds(1.0));
    // Each takes all accelerators of a worker; the third worker stays free.
    for i in 0..2 {
        accept(
            &fleet,
            &format!("00000000000001a{i}"),
            &job(1, 1000, 100, 8, "ms=9000"),
        )?;
    }
    sleep(seconds(12.0));
    require_started(record, "00000000000001a", 2)?;
    Ok(overlaps(record))
}

/// Each worker crashes several times, one after the other, and is back after 4.5 s each time. Then
/// all workers are up and idle, and a job is submitted.
fn shut_out(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (fleet, mut workers) = start_fleet(3, 2, record)?;
    for round in 2..7 {
        for guard in 0..workers.len() {
            if has_trouble {
                workers[guard].crash_after_heartbeat(seconds(CRASH_DELAY_S));
                sleep(seconds(AWAY_S));
                workers[guard] =
                    start_worker(&fleet, guard, &format!("i-{}-{round}", guard + 1), NO_DELAY)?;
            }
            sleep(seconds(1.0));
        }
    }
    sleep(seconds(4.0));
    accept(&fleet, "00000000000002a0", &job(1, 1000, 100, 1, "ms=500"))?;
    let limit = seconds(30.0);
    if wait_until_completed(&fleet, "00000000000002a0", limit) {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "LOST: an accepted job has not run for {limit:?} while all workers are up and idle"
    )])
}

/// `cancel_ms` and `StopTimeoutMs` of the small deployments.
const CANCEL_MS: u64 = 3000;
const STOP_TIMEOUT_MS: u64 = 200;

/// Clients cancel their jobs at once after these were accepted, at the same entry.
fn prompt_cancel(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (fleet, _workers) = start_fleet(3, 3, record)?;
    let mut cancelled = Vec::new();
    for i in 0..24 {
        let id = format!("00000000000003{i:02x}");
        let entry = i % fleet.entries.len();
        let (status, _) = fleet.client_call(entry, "POST", &id, &job(1, 1000, 100, 0, "ms=9000"));
        if status != 200 {
            continue;
        }
        if !has_trouble {
            sleep(seconds(0.3));
        }
        let (status, _) = fleet.client_call(entry, "DELETE", &id, "");
        if (200..300).contains(&status) || status == 410 {
            cancelled.push((id, status, record.now_ms()));
        }
    }
    sleep(seconds(10.0));
    if cancelled.is_empty() {
        return Err(io::Error::other("no job was accepted and cancelled"));
    }
    let runs = record.runs();
    let mut broken = Vec::new();
    for (id, status, acknowledged_ms) in cancelled {
        let of_job = runs.iter().filter(|r| r.task.starts_with(&id));
        let last = of_job.map(|r| r.ended.map_or(u64::MAX, |(at, _)| at)).max();
        let limit = acknowledged_ms + CANCEL_MS + STOP_TIMEOUT_MS;
        if last.is_some_and(|at| at > limit) {
            let (_, state) = fleet.client_call(0, "GET", &id, "");
            broken.push(format!(
                "UNASKED: job {id} was cancelled with {status} at {acknowledged_ms} ms and a subtask \
                 ran until {last:?} ms; state {state}"
            ));
        }
    }
    Ok(broken)
}

/// A job of 1,100 small subtasks whose `Spec` has 4,000 bytes.
fn long_specs(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (fleet, workers) = start_fleet(3, 3, record)?;
    let padding = if has_trouble { 4000 - 8 } else { 40 };
    let spec = format!("ms=2000 {}", "x".repeat(padding));
    accept(&fleet, "00000000000004a0", &job(1100, 100, 100, 0, &spec))?;
    sleep(seconds(3.0));
    accept(&fleet, "00000000000004a1", &job(1, 1000, 100, 8, "ms=500"))?;
    let mut broken = Vec::new();
    for (id, limit) in [("00000000000004a0", 45.0), ("00000000000004a1", 15.0)] {
        if !wait_until_completed(&fleet, id, seconds(limit)) {
            let running: usize = workers.iter().map(|w| w.running()).sum();
            broken.push(format!(
                "LOST: job {id} was accepted and has not completed; {running} subtasks run"
            ));
        }
    }
    Ok(broken)
}

/// Workers crash and are back under the same id after 0.3 s, again and again.
fn same_id(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (fleet, mut workers) = start_fleet(3, 3, record)?;
    for round in 0..12_u32 {
        let id = format!("00000000000005{round:02x}");
        if has_trouble {
            workers[0].crash();
            sleep(seconds(0.3));
            workers[0] = start_worker(&fleet, 0, "i-1-1", seconds(1.0))?;
        }
        sleep(seconds(0.3));
        accept(&fleet, &id, &job(1, 1000, 100, 8, "ms=2500"))?;
        sleep(seconds(4.0));
    }
    require_started(record, "00000000000005", 12)?;
    Ok(overlaps(record))
}

/// The machine of a busy worker loses power. Its guard is back after 0.5 s, and the worker is lost for
/// good. The other workers are up and idle.
fn guard_restart(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (mut fleet, workers) = start_fleet(3, 3, record)?;
    let id = "00000000000006a0";
    accept(&fleet, id, &job(1, 1000, 100, 8, "ms=5000"))?;
    sleep(seconds(1.0));
    if has_trouble {
        let Some(guard) = workers.iter().position(|w| w.running() > 0) else {
            return Err(io::Error::other("the job does not run"));
        };
        fleet.guards[guard].kill();
        workers[guard].crash();
        record.line("the guard beside it was killed");
        sleep(seconds(0.5));
        fleet.guards[guard].start()?;
        record.line("the guard beside it has started again");
    }
    let limit = seconds(60.0);
    if wait_until_completed(&fleet, id, limit) {
        return Ok(Vec::new());
    }
    Ok(vec![format!(
        "LOST: an accepted job has not completed for {limit:?} while two workers are up and idle"
    )])
}

/// Twelve jobs of 100 small subtasks each come within two seconds, and end while the store is down
/// for 4.5 s.
fn many_ends(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (fleet, _workers) = start_fleet(3, 3, record)?;
    let ids: Vec<String> = (0..12).map(|i| format!("00000000000007{i:02x}")).collect();
    for id in &ids {
        accept(&fleet, id, &job(100, 100, 100, 0, "ms=3000"))?;
        sleep(seconds(0.15));
    }
    if has_trouble {
        fleet.store.set_down(true);
        record.line("the store is down");
        sleep(seconds(4.5));
        fleet.store.set_down(false);
        record.line("the store is up");
    }
    for id in &ids {
        wait_until_completed(&fleet, id, seconds(30.0));
    }
    sleep(seconds(2.0));
    require_started(record, "00000000000007", 1200)?;
    let mut broken = overlaps(record);
    let again = record.starts_after_done().into_iter();
    broken.extend(again.map(|(a, b)| format!("TWICE: {a:?} was done, and then {b:?}")));
    Ok(broken)
}

/// `ContactTimeoutMs` of the small deployments: how long after a disruption all is calm.
const CONTACT_TIMEOUT_MS: u64 = 4000;

/// The guard of a busy worker is killed and is back 0.3 s later. A client cancels the job that runs there
/// before the worker has sent its next heartbeat.
fn lost_stop(
    has_trouble: bool,
    record: &Arc<Record>,
) -> io::Result<Broken> {
    let (mut fleet, workers) = start_fleet(3, 3, record)?;
    let id = "00000000000008a0";
    accept(&fleet, id, &job(1, 1000, 100, 8, "ms=11000"))?;
    sleep(seconds(0.5));
    let Some(guard) = workers.iter().position(|w| w.running() > 0) else {
        return Err(io::Error::other("the job does not run"));
    };
    workers[guard].wait_for_heartbeat();
    sleep(seconds(0.1));
    if has_trouble {
        fleet.guards[guard].kill();
        record.line("the guard beside the busy worker was killed");
    }
    sleep(seconds(0.3));
    if has_trouble {
        fleet.guards[guard].start()?;
        record.line("the guard has started again");
    }
    let calm_ms = record.now_ms() + CONTACT_TIMEOUT_MS;
    sleep(seconds(0.6));
    let (status, _) = fleet.client_call(0, "DELETE", id, "");
    if !(200..300).contains(&status) {
        return Err(io::Error::other("the job is not cancelled"));
    }
    let limit = calm_ms + CANCEL_MS + STOP_TIMEOUT_MS;
    sleep(seconds(12.0));
    let (_, state) = fleet.client_call(1, "GET", id, "");
    let runs = record.runs();
    let of_job = runs.iter().filter(|r| r.task.starts_with(id));
    let late = of_job.filter(|r| r.ended.is_none_or(|(at, _)| at > limit));
    let broken = late.map(|r| {
        format!(
            "UNASKED: a subtask of a cancelled job ran on after {limit} ms: {r:?}; state {state}"
        )
    });
    Ok(broken.collect())
}
