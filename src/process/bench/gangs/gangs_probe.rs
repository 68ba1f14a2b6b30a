//! Capacity measurements of gangs of increasing size.

use {
    super::guard_fleet::{GuardFleet, sample_latency},
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

/// The sizes of the measured gangs, in members. Each member has its own guard.
const GANG_SIZES: [usize; 4] = [2, 8, 32, 64];

/// The measured numbers of plain tasks on one guard.
const TASK_COUNTS: [u32; 3] = [4, 16, 32];

/// The average number of running tasks on one worker at the target size of the system.
const TASKS_PER_WORKER: f64 = target::RUNNING_TASKS / target::WORKERS;

/// The number of starts and the duration of the observation at each size.
#[derive(Clone, Copy)]
struct Effort {
    start_count: u32,
    observation_time: Duration,
}

/// Measures the starts and the lease traffic of gangs and the processor time of plain tasks, on
/// guards in this process over loopback sockets.
pub(in crate::process::bench) struct GangsProbe;

/// The measured points of each quantity.
#[derive(Default)]
struct Points {
    start_p99_ms: Vec<Point>,
    leader_calls_per_s: Vec<Point>,
    leader_kb_per_s: Vec<Point>,
    task_core_percent: Vec<Point>,
}

impl Probe for GangsProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let effort = if cx.is_quick {
            Effort {
                start_count: 2,
                observation_time: Duration::from_secs(4),
            }
        } else {
            Effort {
                start_count: 20,
                observation_time: Duration::from_secs(8),
            }
        };
        let points = measure_in_thread(async move || measure(effort).await)?;
        Ok(quantities(points))
    }
}

async fn measure(effort: Effort) -> Result<Points, BenchError> {
    let fleet = GuardFleet::start(GANG_SIZES[GANG_SIZES.len() - 1] as u32).await?;
    let mut points = Points::default();
    for size in GANG_SIZES {
        let starts = sample_latency(effort.start_count, async || {
            let (gang, latency) = fleet.start_gang(size).await?;
            fleet.release_gang(gang, size).await;
            Ok(latency)
        });
        let x = size as f64;
        let y = starts.await?.quantile_ms(0.99);
        points.start_p99_ms.push(Point { x, y });
        let (gang, _) = fleet.start_gang(size).await?;
        let before = fleet.guards[0].lease_traffic();
        fleet.sleep(effort.observation_time).await;
        let after = fleet.guards[0].lease_traffic();
        fleet.release_gang(gang, size).await;
        let seconds = effort.observation_time.as_secs_f64();
        let y = (after.calls - before.calls) as f64 / seconds;
        points.leader_calls_per_s.push(Point { x, y });
        let y = (after.bytes - before.bytes) as f64 / 1e3 / seconds;
        points.leader_kb_per_s.push(Point { x, y });
    }
    points.task_core_percent = measure_tasks(&fleet, effort).await?;
    Ok(points)
}

/// Measures the processor time with different numbers of plain tasks on one guard. The first point
/// is that of the idle guards.
async fn measure_tasks(
    fleet: &GuardFleet,
    effort: Effort,
) -> Result<Vec<Point>, BenchError> {
    let mut points = vec![Point {
        x: 0.0,
        y: measure_core_percent(fleet, effort.observation_time).await,
    }];
    for tasks in TASK_COUNTS {
        let gang = fleet.start_plain_tasks(tasks).await?;
        let y = measure_core_percent(fleet, effort.observation_time).await;
        fleet.release_gang(gang, 1).await;
        let x = f64::from(tasks);
        points.push(Point { x, y });
    }
    Ok(points)
}

/// Returns the share of a core that this thread uses during a time, in percent.
async fn measure_core_percent(
    fleet: &GuardFleet,
    observation_time: Duration,
) -> f64 {
    let before = ProcessUsage::thread_cpu_time();
    fleet.sleep(observation_time).await;
    let cpu_time = ProcessUsage::thread_cpu_time().saturating_sub(before);
    100.0 * cpu_time.as_secs_f64() / observation_time.as_secs_f64()
}

fn quantities(points: Points) -> Vec<Quantity> {
    let per_gang_member = |name, unit, bound, points| Quantity {
        role: "guard",
        name,
        unit,
        size_unit: "members",
        target_size: target::MAX_GANG_MEMBERS,
        bound,
        mechanism: "process::guard::gang",
        points,
    };
    vec![
        per_gang_member(
            "start of a gang, p99",
            "ms",
            Some(target::MAX_URGENT_START_S * 1e3),
            points.start_p99_ms,
        ),
        per_gang_member(
            "calls about leases at the lead",
            "calls/s",
            None,
            points.leader_calls_per_s,
        ),
        per_gang_member(
            "traffic about leases at the lead",
            "KB/s",
            Some(target::MAX_TRAFFIC_KB_PER_S),
            points.leader_kb_per_s,
        ),
        Quantity {
            size_unit: "running tasks",
            target_size: TASKS_PER_WORKER,
            ..per_gang_member(
                "processor time of running tasks, with 64 idle guards and stand-in workers",
                "% of a core",
                Some(target::MAX_CORE_PERCENT),
                points.task_core_percent,
            )
        },
    ]
}
