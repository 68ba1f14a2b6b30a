//! The benchmark `limpetquay bench gangs`.

use {
    super::guard_fleet::{GuardFleet, sample_latency},
    crate::{
        prelude::*,
        process::{
            bench::{Bench, BenchCx, BenchError, Table},
            guard::bounds::RECLAIM_BOUND,
        },
    },
    compio::runtime::Runtime,
};

/// The sizes of the gangs whose start is measured, in members.
const START_SIZES: [usize; 5] = [1, 2, 8, 32, 64];

/// The sizes of the gangs whose lease traffic is measured, in members.
const LEASE_SIZES: [usize; 4] = [2, 8, 32, 64];

/// Measures gangs on guards in this process, over loopback sockets.
pub struct GangsBench;

/// The number of repetitions and the duration of the measurements.
#[derive(Clone, Copy)]
struct Effort {
    start_count: u32,
    reclaim_count: u32,
    observation_time: Duration,
}

impl Bench for GangsBench {
    fn name(&self) -> &'static str {
        "gangs"
    }

    fn summary(&self) -> &'static str {
        "start times of gangs, reclaim times of shares, and the cost of running gangs"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let effort = if cx.is_quick {
            Effort {
                start_count: 2,
                reclaim_count: 5,
                observation_time: Duration::from_secs(4),
            }
        } else {
            Effort {
                start_count: 30,
                reclaim_count: 200,
                observation_time: Duration::from_secs(20),
            }
        };
        Runtime::new()?.block_on(measure(effort))
    }
}

async fn measure(effort: Effort) -> Result<Vec<Table>, BenchError> {
    let fleet = GuardFleet::start(64).await?;
    let starts = measure_starts(&fleet, effort).await?;
    let leases = measure_leases(&fleet, effort).await?;
    let reclaims = measure_reclaims(&fleet, effort).await?;
    Ok(vec![starts, reclaims, leases])
}

async fn measure_starts(
    fleet: &GuardFleet,
    effort: Effort,
) -> Result<Table, BenchError> {
    let columns = [
        "members",
        "p50 ms",
        "p99 ms",
        "max ms",
        "one call each, p50 ms",
        "ratio of p50",
    ];
    let mut table = Table::new("gang-starts", &columns);
    for size in START_SIZES {
        let calls = sample_latency(effort.start_count, async || {
            Ok(fleet.measure_round_trip(size).await)
        })
        .await?;
        let starts = sample_latency(effort.start_count, async || {
            let (gang, latency) = fleet.start_gang(size).await?;
            fleet.release_gang(gang, size).await;
            Ok(latency)
        });
        let starts = starts.await?;
        let mut row = vec![size.to_string()];
        row.extend(starts.quantile_cells());
        row.push(format!("{:.1}", calls.quantile_ms(0.5)));
        let ratio = starts.quantile_ms(0.5) / calls.quantile_ms(0.5).max(0.001);
        row.push(format!("{ratio:.1}"));
        table.push_row(row);
    }
    Ok(table)
}

async fn measure_reclaims(
    fleet: &GuardFleet,
    effort: Effort,
) -> Result<Table, BenchError> {
    fleet.guarantee_first_worker().await;
    let reclaims =
        sample_latency(effort.reclaim_count, async || fleet.measure_reclaim().await).await?;
    let columns = ["reclaims", "p50 ms", "p99 ms", "max ms", "bound ms"];
    let mut table = Table::new("reclaims", &columns);
    let mut row = vec![effort.reclaim_count.to_string()];
    row.extend(reclaims.quantile_cells());
    row.push(RECLAIM_BOUND.as_millis().to_string());
    table.push_row(row);
    Ok(table)
}

/// Measures the lease traffic of a running gang at its leader guard and at each other guard.
async fn measure_leases(
    fleet: &GuardFleet,
    effort: Effort,
) -> Result<Table, BenchError> {
    let columns = [
        "members",
        "lead: calls/s",
        "lead: bytes/s",
        "other guard: calls/s",
        "other guard: bytes/s",
    ];
    let mut table = Table::new("gang-leases", &columns);
    for size in LEASE_SIZES {
        let (gang, _) = fleet.start_gang(size).await?;
        let before = fleet.guards[0].lease_traffic();
        fleet.sleep(effort.observation_time).await;
        let after = fleet.guards[0].lease_traffic();
        fleet.release_gang(gang, size).await;
        let seconds = effort.observation_time.as_secs_f64();
        let calls = (after.calls - before.calls) as f64 / seconds;
        let bytes = (after.bytes - before.bytes) as f64 / seconds;
        let others = (size - 1) as f64;
        table.push_row(vec![
            size.to_string(),
            format!("{calls:.1}"),
            format!("{bytes:.0}"),
            format!("{:.2}", calls / others),
            format!("{:.0}", bytes / others),
        ]);
    }
    Ok(table)
}
