//! Ten times overload, and one account's burst against another's latency.

use {
    super::{Bed, Samples, Site, Stream},
    crate::{
        prelude::*,
        process::bench::{BenchError, Table},
    },
    futures_util::future::{join, join_all},
    std::time::Instant,
};

/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 20;

/// The workers and their slots.
const WORKERS: u32 = 2;
const SLOTS: u32 = 2;

/// The requests a second that the workers can run.
const CAPACITY_PER_S: f64 = (WORKERS * SLOTS) as f64 * 1000.0 / RUN_MS as f64;

/// The load, as a multiple of the capacity.
const LOADS: [f64; 3] = [0.8, 2.0, 10.0];

/// The requests a second of the account that sends few.
const STEADY_PER_S: f64 = 20.0;

const SITE: Site = Site {
    name: "jozi-1",
    region: "jozi",
    entries: 1,
    workers: WORKERS,
};

/// Measures what is answered under overload, by class.
pub(super) async fn measure_classes(
    span: Duration,
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
        let bed = Rc::new(Bed::start(&[SITE], SLOTS).await?);
        let kinds = ["urgent", "normal", "deferrable"];
        let per_s = load * CAPACITY_PER_S / kinds.len() as f64;
        let streams = kinds.map(|kind| Stream::new("jozi-studios", kind, RUN_MS));
        let loads = streams.iter().zip(seed..);
        let loads = loads.map(|(stream, seed)| bed.open_loop(stream, per_s, span, seed));
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
        bed.stop().await;
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

/// Measures the latency of an account that sends few requests, alone, beside another account's
/// burst, and in one queue with the burst.
pub(super) async fn measure_burst(
    span: Duration,
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
    let steady = Stream::new("producers", "normal", RUN_MS);
    let burst = Stream::new("jozi-studios", "normal", RUN_MS);
    let same_account = Stream::new("producers", "normal", RUN_MS);
    let burst_per_s = 10.0 * CAPACITY_PER_S;
    let mut alone_p99 = 1.0;
    for (case, burst) in [
        ("alone", None),
        ("beside a burst", Some(&burst)),
        ("in one queue with it", Some(&same_account)),
    ] {
        let bed = Rc::new(Bed::start(&[SITE], SLOTS).await?);
        let few = bed.open_loop(&steady, STEADY_PER_S, span, seed);
        let samples = match burst {
            Some(burst) => {
                let many = bed.open_loop(burst, burst_per_s, span, seed + 1);
                join(few, many).await.0
            }
            None => few.await,
        };
        let p99 = samples.quantile_ms(0.99);
        if burst.is_none() {
            alone_p99 = p99;
        }
        let mut cells = vec![case.to_owned()];
        cells.extend([samples.sent, samples.answered, samples.not_run].map(|n| n.to_string()));
        cells.extend(samples.quantile_cells());
        cells.push(format!("{:.2}", p99 / alone_p99));
        table.push_row(cells);
        bed.stop().await;
    }
    Ok(table)
}
