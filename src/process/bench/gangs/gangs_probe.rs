//! The cost of gangs as they grow.

use {
    super::measurements::{Fleet, sample},
    crate::{
        prelude::*,
        process::{
            bench::{
                BenchCx, BenchError,
                capacity::{Point, Probe, Quantity, measure_in_thread, target},
            },
            metrics::ProcessUsage,
        },
    },
};

/// The members of the measured gangs, each on a guard of its own.
const SIZES: [usize; 4] = [2, 8, 32, 64];

/// The tasks without accelerators on one guard.
const TASKS: [u32; 3] = [4, 16, 32];

/// The tasks that run on one worker at the target.
const TASKS_PER_WORKER: f64 = target::RUNNING_TASKS / target::WORKERS;

/// How much is measured of each size.
#[derive(Clone, Copy)]
struct Effort {
    starts: u32,
    watched: Duration,
}

/// Measures starts and leases of gangs on guards of this process, over loopback sockets.
pub(in crate::process::bench) struct GangsProbe;

/// The points of all quantities.
#[derive(Default)]
struct Points {
    start_ms: Vec<Point>,
    lead_calls: Vec<Point>,
    lead_kilobytes: Vec<Point>,
    task_core_percent: Vec<Point>,
}

impl Probe for GangsProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let effort = if cx.is_quick {
            Effort {
                starts: 2,
                watched: Duration::from_secs(4),
            }
        } else {
            Effort {
                starts: 20,
                watched: Duration::from_secs(8),
            }
        };
        let points = measure_in_thread(async move || measure(effort).await)?;
        Ok(quantities(points))
    }
}

async fn measure(effort: Effort) -> Result<Points, BenchError> {
    let fleet = Fleet::start(SIZES[SIZES.len() - 1] as u32).await?;
    let mut points = Points::default();
    for size in SIZES {
        let starts = sample(effort.starts, async || {
            let (gang, took) = fleet.start_gang(size).await?;
            fleet.release(gang, size).await;
            Ok(took)
        });
        let x = size as f64;
        let y = starts.await?.quantile_ms(0.99);
        points.start_ms.push(Point { x, y });
        let (gang, _) = fleet.start_gang(size).await?;
        let before = fleet.guards[0].traffic();
        fleet.sleep(effort.watched).await;
        let after = fleet.guards[0].traffic();
        fleet.release(gang, size).await;
        let seconds = effort.watched.as_secs_f64();
        let y = (after.calls - before.calls) as f64 / seconds;
        points.lead_calls.push(Point { x, y });
        let y = (after.bytes - before.bytes) as f64 / 1e3 / seconds;
        points.lead_kilobytes.push(Point { x, y });
    }
    points.task_core_percent = measure_tasks(&fleet, effort).await?;
    Ok(points)
}

/// Measures the processor time of tasks on one guard, beside that of the idle fleet.
async fn measure_tasks(
    fleet: &Fleet,
    effort: Effort,
) -> Result<Vec<Point>, BenchError> {
    let mut points = vec![Point {
        x: 0.0,
        y: watch_thread(fleet, effort.watched).await,
    }];
    for tasks in TASKS {
        let gang = fleet.start_plain_tasks(tasks).await?;
        let y = watch_thread(fleet, effort.watched).await;
        fleet.release(gang, 1).await;
        let x = f64::from(tasks);
        points.push(Point { x, y });
    }
    Ok(points)
}

/// Returns the share of a core that this thread takes over a while, in percent.
async fn watch_thread(
    fleet: &Fleet,
    watched: Duration,
) -> f64 {
    let before = ProcessUsage::cpu_of_thread();
    fleet.sleep(watched).await;
    let spent = ProcessUsage::cpu_of_thread().saturating_sub(before);
    100.0 * spent.as_secs_f64() / watched.as_secs_f64()
}

fn quantities(points: Points) -> Vec<Quantity> {
    let of_members = |name, unit, bound, points| Quantity {
        role: "guard",
        name,
        unit,
        size: "members",
        target: target::GANG_MEMBERS,
        bound,
        mechanism: "process::guard::gang",
        points,
    };
    vec![
        of_members(
            "start of a gang, p99",
            "ms",
            Some(target::URGENT_START_S * 1e3),
            points.start_ms,
        ),
        of_members(
            "calls about leases at the lead",
            "calls/s",
            None,
            points.lead_calls,
        ),
        of_members(
            "traffic about leases at the lead",
            "KB/s",
            Some(target::TRAFFIC_KB_PER_S),
            points.lead_kilobytes,
        ),
        Quantity {
            size: "running tasks",
            target: TASKS_PER_WORKER,
            ..of_members(
                "processor time of running tasks, with 64 idle guards and stand-in workers",
                "% of a core",
                Some(target::CORE_PERCENT),
                points.task_core_percent,
            )
        },
    ]
}
