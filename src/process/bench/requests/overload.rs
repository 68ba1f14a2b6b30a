//! Requests under overload, and the effect of one account's burst on another account's latency.

use {
    super::{DataCentreSpec, RequestStream, Samples, Testbed},
    crate::{
        prelude::*,
        process::bench::{BenchError, Table},
    },
    futures_util::future::{join, join_all},
    std::time::Instant,
};

/// The run time of a request, in milliseconds.
const RUN_MS: u64 = 20;

/// The number of workers.
const WORKERS: u32 = 2;

/// The number of slots of each worker.
const SLOTS: u32 = 2;

/// The highest rate at which the workers can run requests, per second.
const CAPACITY_PER_S: f64 = (WORKERS * SLOTS) as f64 * 1000.0 / RUN_MS as f64;

/// The measured loads, as multiples of the capacity.
const LOADS: [f64; 3] = [0.8, 2.0, 10.0];

/// The request rate of the account whose latency the burst may affect, per second.
const STEADY_PER_S: f64 = 20.0;

const DATA_CENTRE: DataCentreSpec = DataCentreSpec {
    name: "jozi-1",
    region: "jozi",
    entry_count: 1,
    worker_count: WORKERS,
};

/// Measures the outcomes and latencies of each class at each load.
pub(super) async fn measure_classes(
    duration: Duration,
    seed: u64,
) -> Result<Table, BenchError> {
    let columns = [
        "class",
        "load",
        "sent/s",
        "answered/s",
        "answered",
        "not run",
        "unknown",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let mut table = Table::new("requests-overload", &columns);
    for load in LOADS {
        let testbed = Rc::new(Testbed::start(&[DATA_CENTRE], SLOTS).await?);
        let kinds = ["urgent", "normal", "deferrable"];
        let per_s = load * CAPACITY_PER_S / kinds.len() as f64;
        let streams = kinds.map(|kind| RequestStream::new("jozi-studios", kind, RUN_MS));
        let seeded = streams.iter().zip(seed..);
        let loads =
            seeded.map(|(stream, seed)| testbed.run_open_loop(stream, per_s, duration, seed));
        let start = Instant::now();
        let results = join_all(loads).await;
        let elapsed = start.elapsed();
        for (kind, samples) in kinds.iter().zip(&results) {
            table.push_row(class_row(kind, load, samples, elapsed));
        }
        let answered: u64 = results.iter().map(|s| s.answered).sum();
        let share = answered as f64 / elapsed.as_secs_f64() / CAPACITY_PER_S;
        let mut total = vec!["all, of capacity".to_owned(), format!("{load:.1}")];
        total.extend(["-".to_owned(), "-".to_owned(), format!("{share:.2}")]);
        total.extend(std::iter::repeat_n("-".to_owned(), 5));
        table.push_row(total);
        testbed.stop().await;
    }
    Ok(table)
}

fn class_row(
    kind: &str,
    load: f64,
    samples: &Samples,
    elapsed: Duration,
) -> Vec<String> {
    let per_s = |n: u64| format!("{:.0}", n as f64 / elapsed.as_secs_f64());
    let share = |n: u64| format!("{:.2}", n as f64 / samples.sent.max(1) as f64);
    let mut cells = vec![
        kind.to_owned(),
        format!("{load:.1}"),
        per_s(samples.sent),
        per_s(samples.answered),
        share(samples.answered),
        share(samples.not_run),
        share(samples.unknown),
    ];
    cells.extend(samples.quantile_cells());
    cells
}

/// Measures the latency of an account's steady requests in three cases: without other load, during
/// a burst of another account, and during a burst of the same account, which shares its queue.
pub(super) async fn measure_burst(
    duration: Duration,
    seed: u64,
) -> Result<Table, BenchError> {
    let columns = [
        "case",
        "sent",
        "answered",
        "not run",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "p99 factor",
    ];
    let mut table = Table::new("requests-burst", &columns);
    let steady = RequestStream::new("producers", "normal", RUN_MS);
    let burst = RequestStream::new("jozi-studios", "normal", RUN_MS);
    let same_account_burst = RequestStream::new("producers", "normal", RUN_MS);
    let burst_per_s = 10.0 * CAPACITY_PER_S;
    let mut baseline_p99 = 1.0;
    for (case, burst) in [
        ("alone", None),
        ("beside a burst", Some(&burst)),
        ("in one queue with it", Some(&same_account_burst)),
    ] {
        let testbed = Rc::new(Testbed::start(&[DATA_CENTRE], SLOTS).await?);
        let steady_load = testbed.run_open_loop(&steady, STEADY_PER_S, duration, seed);
        let samples = match burst {
            Some(burst) => {
                let burst_load = testbed.run_open_loop(burst, burst_per_s, duration, seed + 1);
                join(steady_load, burst_load).await.0
            }
            None => steady_load.await,
        };
        let p99 = samples.quantile_ms(0.99);
        if burst.is_none() {
            baseline_p99 = p99;
        }
        let mut cells = vec![case.to_owned()];
        cells.extend([samples.sent, samples.answered, samples.not_run].map(|n| n.to_string()));
        cells.extend(samples.quantile_cells());
        cells.push(format!("{:.2}", p99 / baseline_p99));
        table.push_row(cells);
        testbed.stop().await;
    }
    Ok(table)
}
