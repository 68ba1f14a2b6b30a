//! The cost of state on the log as the log and the fleet grow.

use {
    super::{
        in_force::{mean_spread_ms, start_system_of},
        start::measure_start_points,
    },
    crate::process::{
        bench::{
            BenchCx, BenchError,
            capacity::{Point, Probe, Quantity, measure_in_thread, target},
        },
        local::EXAMPLE_SETTINGS,
        settings::LocalSettings,
    },
};

/// The workers of each of the three data centres.
const WORKERS: [u32; 3] = [4, 12, 32];

/// The changes that are followed at each size, in a full and in a quick run.
const CHANGES: [usize; 2] = [10, 2];

/// The most records that a new entry reads before it has the state: those after the latest
/// snapshot.
const RECORDS: f64 = 4_000.0;

/// Measures how fast a change is in force everywhere, and how fast a new entry has the state.
pub(in crate::process::bench) struct LogProbe;

impl Probe for LogProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let quick = cx.quick;
        let changes = CHANGES[usize::from(quick)];
        let mut in_force = Vec::new();
        for workers in WORKERS {
            let y = measure_in_thread(async move || in_force_ms(workers, changes).await)?;
            let x = f64::from(3 * workers);
            in_force.push(Point { x, y });
        }
        let starts = measure_in_thread(async move || measure_start_points(quick).await)?;
        let points = starts.iter().map(|(x, y)| Point { x: *x, y: *y });
        Ok(vec![
            Quantity {
                role: "all",
                name: "accepted change in force on every entry and guard, mean",
                unit: "ms",
                size: "guards",
                target: target::WORKERS,
                bound: Some(target::IN_FORCE_S * 1e3),
                mechanism: "process::state, process::entry::push_documents",
                points: in_force,
            },
            Quantity {
                role: "entry",
                name: "reading the log after the latest snapshot",
                unit: "ms",
                size: "records",
                target: RECORDS,
                bound: Some(target::IN_FORCE_S * 1e3),
                mechanism: "process::state::State",
                points: points.collect(),
            },
        ])
    }
}

/// Starts a system with a number of workers in each data centre, and returns the mean time until
/// a change is in force, in milliseconds.
async fn in_force_ms(
    workers: u32,
    changes: usize,
) -> Result<f64, BenchError> {
    let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS);
    let mut settings = settings.map_err(|e| BenchError::Failed(e.to_string()))?;
    for data_centre in &mut settings.data_centres {
        data_centre.workers = workers;
    }
    let system = start_system_of(&settings).await?;
    let mean = mean_spread_ms(&system, changes).await;
    system.stop().await;
    mean
}
