//! `limpetquay bench membership`.

use {
    super::{
        fleet_stage::FleetPlan,
        run_fleet, run_watched,
        tables::{fit_table, fleet_table, watched_table, worst_table},
    },
    crate::{
        prelude::*,
        process::bench::{Bench, BenchCx, BenchError, Table},
    },
};

/// The upstreams of the sizes that are measured.
const SIZES: [u32; 4] = [10, 100, 300, 950];

/// The upstreams of the sizes of a brief measurement.
const SIZES_QUICK: [u32; 2] = [10, 40];

/// How long each size is watched.
const WATCHED: Duration = Duration::from_secs(4);

/// How long each size is watched when the measurement is brief.
const WATCHED_QUICK: Duration = Duration::from_secs(1);

/// The data centres of a fleet.
const DATA_CENTRES: u32 = 8;

/// The entries of each data centre.
const ENTRIES: u32 = 3;

/// Measures the cost of membership.
pub struct MembershipBench;

impl Bench for MembershipBench {
    fn name(&self) -> &'static str {
        "membership"
    }

    fn summary(&self) -> &'static str {
        "cost of knowing the fleet, for an entry, a guard and the link"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let (sizes, span) = if cx.is_quick {
            (&SIZES_QUICK[..], WATCHED_QUICK)
        } else {
            (&SIZES[..], WATCHED)
        };
        let mut watched = Vec::new();
        let mut fleets = Vec::new();
        for size in sizes {
            watched.push(run_watched(*size, span)?);
        }
        for size in sizes {
            let plan = FleetPlan {
                data_centres: DATA_CENTRES,
                entries: ENTRIES,
                upstreams: *size,
            };
            let is_largest = Some(size) == sizes.last();
            fleets.push(run_fleet(plan, span, is_largest)?);
        }
        Ok(vec![
            watched_table(&watched),
            fleet_table(&fleets),
            worst_table(&fleets),
            fit_table(&watched, &fleets),
        ])
    }
}
