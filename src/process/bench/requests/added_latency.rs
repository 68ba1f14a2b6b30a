//! The latency that the path through an entry adds to a direct call.

use {
    super::{DataCentreSpec, RequestStream, Samples, Testbed},
    crate::{
        prelude::*,
        process::bench::{BenchError, Table},
    },
};

/// The measured numbers of concurrent callers.
const CALLERS: [usize; 3] = [1, 8, 32];

/// Measures the latency of direct calls to an upstream and of calls through an entry, for each
/// number of callers, and the difference between them.
pub(super) async fn measure(duration: Duration) -> Result<Table, BenchError> {
    let columns = [
        "way",
        "callers",
        "requests/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let mut table = Table::new("requests-added-latency", &columns);
    let data_centre = DataCentreSpec {
        name: "jozi-1",
        region: "jozi",
        entry_count: 1,
        worker_count: 4,
    };
    let testbed = Rc::new(Testbed::start(&[data_centre], 8).await?);
    let routed = RequestStream::new("jozi-studios", "normal", 0);
    let direct = RequestStream {
        is_direct: true,
        ..routed.clone()
    };
    for callers in CALLERS {
        let direct_samples = testbed.run_closed_loop(&direct, callers, duration).await;
        let routed_samples = testbed.run_closed_loop(&routed, callers, duration).await;
        table.push_row(row("direct", callers, &direct_samples, duration));
        table.push_row(row("path", callers, &routed_samples, duration));
        table.push_row(added_row(callers, &direct_samples, &routed_samples));
    }
    testbed.stop().await;
    Ok(table)
}

fn row(
    path: &str,
    callers: usize,
    samples: &Samples,
    duration: Duration,
) -> Vec<String> {
    let per_s = samples.answered as f64 / duration.as_secs_f64();
    let mut cells = vec![path.to_owned(), callers.to_string(), format!("{per_s:.0}")];
    cells.extend(samples.quantile_cells());
    cells
}

fn added_row(
    callers: usize,
    direct: &Samples,
    routed: &Samples,
) -> Vec<String> {
    let mut cells = vec!["added".to_owned(), callers.to_string(), "-".to_owned()];
    let added = |q| routed.quantile_ms(q) - direct.quantile_ms(q);
    cells.extend([0.5, 0.99, 0.999].map(|q| format!("{:.2}", added(q))));
    cells
}
