//! The `limpetquay bench membership` command.

use {
    super::{
        fleet_state::FleetPlan,
        measure_fleet, measure_single_entry,
        tables::{fit_table, fleet_table, single_entry_table, worst_case_table},
    },
    crate::{
        prelude::*,
        process::bench::{Bench, BenchCx, BenchError, Table},
    },
};

/// The fleet sizes of a full run, in upstreams.
const UPSTREAM_COUNTS: [u32; 4] = [10, 100, 300, 950];

/// The fleet sizes of a quick run, in upstreams.
const QUICK_UPSTREAM_COUNTS: [u32; 2] = [10, 40];

/// How long each fleet size is measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(4);

/// How long each fleet size is measured in a quick run.
const QUICK_MEASUREMENT_DURATION: Duration = Duration::from_secs(1);

const DATA_CENTRE_COUNT: u32 = 8;

const ENTRIES_PER_DATA_CENTRE: u32 = 3;

/// Measures the processor time, traffic and memory of membership at several fleet sizes.
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
        let (sizes, duration) = if cx.is_quick {
            (&QUICK_UPSTREAM_COUNTS[..], QUICK_MEASUREMENT_DURATION)
        } else {
            (&UPSTREAM_COUNTS[..], MEASUREMENT_DURATION)
        };
        let mut single_entries = Vec::new();
        let mut fleets = Vec::new();
        for size in sizes {
            single_entries.push(measure_single_entry(*size, duration)?);
        }
        for size in sizes {
            let plan = FleetPlan {
                data_centres: DATA_CENTRE_COUNT,
                entries_per_data_centre: ENTRIES_PER_DATA_CENTRE,
                upstreams: *size,
            };
            let is_largest = Some(size) == sizes.last();
            fleets.push(measure_fleet(plan, duration, is_largest)?);
        }
        Ok(vec![
            single_entry_table(&single_entries),
            fleet_table(&fleets),
            worst_case_table(&fleets),
            fit_table(&single_entries, &fleets),
        ])
    }
}
