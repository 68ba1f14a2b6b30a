//! The `limpetquay bench log` command.

use {
    super::{
        in_force::measure_changes, job_cost::measure_job_cost, outage::measure_outage,
        recovery::measure_recovery, start::measure_starts,
    },
    crate::process::bench::{Bench, BenchCx, BenchError, Table},
    compio::runtime::Runtime,
};

/// Measures documents, jobs, recovery, starts and outages over the stand-in log.
pub struct LogBench;

impl Bench for LogBench {
    fn name(&self) -> &'static str {
        "log"
    }

    fn summary(&self) -> &'static str {
        "documents, jobs, recovery, starts and outages over the log"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let runtime = Runtime::new()?;
        Ok(vec![
            runtime.block_on(measure_changes(cx))?,
            runtime.block_on(measure_job_cost(cx))?,
            runtime.block_on(measure_recovery(cx))?,
            runtime.block_on(measure_starts(cx))?,
            runtime.block_on(measure_outage(cx))?,
        ])
    }
}
