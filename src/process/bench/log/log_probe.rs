//! The cost of state on the log as the log and the fleet grow.

use {
    super::{
        in_force::{mean_spread_ms, start_system_of},
        job_cost::{submit, wait_for_ends},
        start::measure_start_points,
    },
    crate::process::{
        bench::{
            BenchCx, BenchError,
            capacity::{Point, Probe, Quantity, measure_in_thread, target},
        },
        local::{EXAMPLE_SETTINGS, LocalSystem},
        settings::LocalSettings,
    },
    std::time::Instant,
};

/// The workers of each of the three data centres.
const WORKERS: [u32; 3] = [4, 12, 32];

/// The changes that are followed, and the jobs that are run, at each size, in a full and in a quick
/// run.
const CHANGES: [usize; 2] = [10, 2];

/// The most records that a new entry reads before it has the state: those after the latest
/// snapshot.
const RECORDS: f64 = 4_000.0;

/// Measures how fast a change is in force everywhere, how fast urgent jobs run, and how fast a new
/// entry has the state.
pub(in crate::process::bench) struct LogProbe;

impl Probe for LogProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let quick = cx.is_quick;
        let changes = CHANGES[usize::from(quick)];
        let mut in_force = Vec::new();
        let mut urgent = Vec::new();
        for workers in WORKERS {
            let measuring = async move || measure_system(workers, changes).await;
            let times = measure_in_thread(measuring)?;
            let x = f64::from(3 * workers);
            in_force.push(Point {
                x,
                y: times.in_force_ms,
            });
            urgent.push(Point {
                x,
                y: times.urgent_ms,
            });
        }
        let starts = measure_in_thread(async move || measure_start_points(quick).await)?;
        let points = starts.iter().map(|(x, y)| Point { x: *x, y: *y });
        Ok(vec![
            Quantity {
                role: "all",
                name: "accepted change in force on every entry and guard, mean",
                unit: "ms",
                size_unit: "guards",
                target_size: target::WORKERS,
                bound: Some(target::MAX_CONFIG_PROPAGATION_S * 1e3),
                mechanism: "process::state, process::entry::push_documents",
                points: in_force,
            },
            Quantity {
                role: "all",
                name: "urgent job of 2x8 from submission to its recorded end, mean",
                unit: "ms",
                size_unit: "guards",
                target_size: target::WORKERS,
                bound: Some(target::MAX_URGENT_START_S * 1e3),
                mechanism: "process::job_queue, request::job::gang",
                points: urgent,
            },
            Quantity {
                role: "entry",
                name: "reading the log after the latest snapshot",
                unit: "ms",
                size_unit: "records",
                target_size: RECORDS,
                bound: Some(target::MAX_CONFIG_PROPAGATION_S * 1e3),
                mechanism: "process::state::State",
                points: points.collect(),
            },
        ])
    }
}

/// What one size of a system shows.
struct SystemTimes {
    in_force_ms: f64,
    urgent_ms: f64,
}

/// Starts a system with a number of workers in each data centre and measures it. The first urgent
/// job is not counted, because new guards give no accelerators out for some seconds.
async fn measure_system(
    workers: u32,
    times: usize,
) -> Result<SystemTimes, BenchError> {
    let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS);
    let mut settings = settings.map_err(|e| BenchError::Failed(e.to_string()))?;
    for data_centre in &mut settings.data_centres {
        data_centre.workers = workers;
    }
    let system = start_system_of(&settings).await?;
    let in_force_ms = mean_spread_ms(&system, times).await?;
    time_urgent_job(&system).await?;
    let mut urgent_ms = 0.0;
    for _ in 0..times {
        urgent_ms += time_urgent_job(&system).await? / times as f64;
    }
    system.stop().await;
    Ok(SystemTimes {
        in_force_ms,
        urgent_ms,
    })
}

/// Returns the time from the submission of an urgent job that runs for a millisecond to its end on
/// the log, in milliseconds.
async fn time_urgent_job(system: &LocalSystem) -> Result<f64, BenchError> {
    let start = Instant::now();
    submit(system, "run_ms=1").await?;
    wait_for_ends(system).await;
    Ok(start.elapsed().as_secs_f64() * 1e3)
}
