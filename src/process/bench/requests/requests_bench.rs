//! The benchmark `limpetquay bench requests`.

use {
    super::{added_latency, killed, overload, policies},
    crate::{
        prelude::*,
        process::bench::{Bench, BenchCx, BenchError, Table},
    },
    compio::runtime::Runtime,
};

/// The duration of the load in each case, in a full and in a quick run.
const LOAD_DURATIONS: [Duration; 2] = [Duration::from_secs(4), Duration::from_millis(400)];

/// Measures the request path over loopback sockets, with all parts in one process and thread.
pub struct RequestsBench;

impl Bench for RequestsBench {
    fn name(&self) -> &'static str {
        "requests"
    }

    fn summary(&self) -> &'static str {
        "latency, overload, bursts, slow and killed upstreams, routing policies"
    }

    fn run(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Table>, BenchError> {
        let duration = LOAD_DURATIONS[usize::from(cx.is_quick)];
        Runtime::new()?.block_on(async {
            Ok(vec![
                added_latency::measure(duration).await?,
                overload::measure_classes(duration, cx.seed).await?,
                overload::measure_burst(duration, cx.seed).await?,
                policies::measure_slow(duration, cx.seed).await?,
                policies::measure_regions(duration, cx.seed).await?,
                killed::measure(duration).await?,
            ])
        })
    }
}
