//! What the path adds to a direct call.

use {
    super::{Bed, Samples, Site, Stream},
    crate::{
        prelude::*,
        process::bench::{BenchError, Table},
    },
};

/// The numbers of callers.
const CALLERS: [usize; 3] = [1, 8, 32];

/// Measures the same callers against the same upstreams, directly and through an entry.
pub(super) async fn measure(span: Duration) -> Result<Table, BenchError> {
    let columns = [
        "way",
        "callers",
        "requests/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let mut table = Table::new("requests-added-latency", &columns);
    let site = Site {
        name: "jozi-1",
        region: "jozi",
        entries: 1,
        workers: 4,
    };
    let bed = Rc::new(Bed::start(&[site], 8).await?);
    let path = Stream::new("jozi-studios", "normal", 0);
    let direct = Stream {
        direct: true,
        ..path.clone()
    };
    for callers in CALLERS {
        let straight = bed.closed_loop(&direct, callers, span).await;
        let routed = bed.closed_loop(&path, callers, span).await;
        table.push_row(row("direct", callers, &straight, span));
        table.push_row(row("path", callers, &routed, span));
        table.push_row(added(callers, &straight, &routed));
    }
    bed.stop().await;
    Ok(table)
}

fn row(
    way: &str,
    callers: usize,
    samples: &Samples,
    span: Duration,
) -> Vec<String> {
    let per_s = samples.answered as f64 / span.as_secs_f64();
    let mut cells = vec![way.to_owned(), callers.to_string(), format!("{per_s:.0}")];
    cells.extend(samples.quantile_cells());
    cells
}

fn added(
    callers: usize,
    direct: &Samples,
    path: &Samples,
) -> Vec<String> {
    let mut cells = vec!["added".to_owned(), callers.to_string(), "-".to_owned()];
    let added = |q| path.quantile_ms(q) - direct.quantile_ms(q);
    cells.extend([0.5, 0.99, 0.999].map(|q| format!("{:.2}", added(q))));
    cells
}
