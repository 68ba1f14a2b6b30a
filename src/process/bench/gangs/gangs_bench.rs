//! `limpetquay bench gangs`.

use {
    super::measurements::{Fleet, sample},
    crate::{
        prelude::*,
        process::{
            bench::{Bench, BenchCx, BenchError, Table},
            guard::bounds::RECLAIM_BOUND,
        },
    },
    compio::runtime::Runtime,
};

/// The sizes of gangs.
const SIZES: [usize; 5] = [1, 2, 8, 32, 64];

/// The sizes of the gangs whose leases are watched.
const LEASE_SIZES: [usize; 4] = [2, 8, 32, 64];

/// Measures gangs on guards of this process, over loopback sockets.
pub struct GangsBench;

/// How much is measured.
#[derive(Clone, Copy)]
struct Effort {
    starts: u32,
    reclaims: u32,
    watched: Duration,
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
                starts: 2,
                reclaims: 5,
                watched: Duration::from_secs(4),
            }
        } else {
            Effort {
                starts: 30,
                reclaims: 200,
                watched: Duration::from_secs(20),
            }
        };
        Runtime::new()?.block_on(measure(effort))
    }
}

async fn measure(effort: Effort) -> Result<Vec<Table>, BenchError> {
    let fleet = Fleet::start(64).await?;
    let starts = measure_starts(&fleet, effort).await?;
    let leases = measure_leases(&fleet, effort).await?;
    let reclaims = measure_reclaims(&fleet, effort).await?;
    Ok(vec![starts, reclaims, leases])
}

async fn measure_starts(
    fleet: &Fleet,
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
    for size in SIZES {
        let calls = sample(effort.starts, async || Ok(fleet.round_trip(size).await)).await?;
        let starts = sample(effort.starts, async || {
            let (gang, took) = fleet.start_gang(size).await?;
            fleet.release(gang, size).await;
            Ok(took)
        });
        let starts = starts.await?;
        let mut row = vec![size.to_string()];
        row.extend(starts.cells());
        row.push(format!("{:.1}", calls.quantile_ms(0.5)));
        let ratio = starts.quantile_ms(0.5) / calls.quantile_ms(0.5).max(0.001);
        row.push(format!("{ratio:.1}"));
        table.push_row(row);
    }
    Ok(table)
}

async fn measure_reclaims(
    fleet: &Fleet,
    effort: Effort,
) -> Result<Table, BenchError> {
    fleet.guarantee_first().await;
    let reclaims = sample(effort.reclaims, async || fleet.reclaim().await).await?;
    let columns = ["reclaims", "p50 ms", "p99 ms", "max ms", "bound ms"];
    let mut table = Table::new("reclaims", &columns);
    let mut row = vec![effort.reclaims.to_string()];
    row.extend(reclaims.cells());
    row.push(RECLAIM_BOUND.as_millis().to_string());
    table.push_row(row);
    Ok(table)
}

/// Measures what the leases of a running gang cost its lead guard and each other guard.
async fn measure_leases(
    fleet: &Fleet,
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
        let before = fleet.guards[0].traffic();
        fleet.sleep(effort.watched).await;
        let after = fleet.guards[0].traffic();
        fleet.release(gang, size).await;
        let seconds = effort.watched.as_secs_f64();
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
