//! A third of the upstreams killed under load.

use {
    super::{Bed, Samples, Site, Stream},
    crate::{
        prelude::*,
        process::{
            bench::{BenchError, Table},
            stand_in::StandInUpstream,
        },
    },
    futures_util::future::join3,
    std::collections::BTreeMap,
};

/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 10;

/// The workers, and how many of them are killed.
const WORKERS: u32 = 6;
const KILLED: usize = 2;

/// The callers of each stream.
const CALLERS: usize = 4;

/// Measures the outcomes before, while and after guards are killed at once.
pub(super) async fn measure(span: Duration) -> Result<Table, BenchError> {
    let columns = [
        "kind",
        "time",
        "answered/s",
        "answered",
        "not run",
        "unknown",
        "run twice",
        "p50 ms",
        "p99 ms",
    ];
    let mut table = Table::new("requests-killed", &columns);
    let site = Site {
        name: "jozi-1",
        region: "jozi",
        entries: 1,
        workers: WORKERS,
    };
    let bed = Rc::new(Bed::start(&[site], 4).await?);
    let upstreams = bed.system.borrow().upstreams().to_vec();
    for time in ["before", "killed within", "after"] {
        let (again, once, ()) = measure_once(&bed, time, span).await;
        let doubled = runs_twice(&upstreams);
        for (kind, samples, doubled) in [("idempotent", &again, "-"), ("once", &once, &*doubled)] {
            table.push_row(row(kind, time, samples, doubled, span));
        }
    }
    bed.stop().await;
    Ok(table)
}

/// Loads the system for a time.
async fn measure_once(
    bed: &Rc<Bed>,
    time: &str,
    span: Duration,
) -> (Samples, Samples, ()) {
    let again = Stream::new("jozi-studios", "normal", RUN_MS);
    let once = Stream::new("producers", "once", RUN_MS);
    let killing = async {
        if time == "killed within" {
            compio::time::sleep(span / 2).await;
            for _ in 0..KILLED {
                bed.system.borrow_mut().kill_guard(0);
            }
        }
    };
    join3(
        bed.closed_loop(&again, CALLERS, span),
        bed.closed_loop(&once, CALLERS, span),
        killing,
    )
    .await
}

/// Returns how many requests were run more than once over all upstreams.
fn runs_twice(upstreams: &[Rc<StandInUpstream>]) -> String {
    let mut counts = BTreeMap::new();
    for upstream in upstreams {
        for (id, runs) in upstream.requests().run_counts_of_kind("once") {
            *counts.entry(id).or_insert(0) += runs;
        }
    }
    counts.values().filter(|n| **n > 1).count().to_string()
}

fn row(
    kind: &str,
    time: &str,
    samples: &Samples,
    doubled: &str,
    span: Duration,
) -> Vec<String> {
    let [p50, p99, _] = samples.quantile_cells();
    vec![
        kind.to_owned(),
        time.to_owned(),
        format!("{:.0}", samples.answered as f64 / span.as_secs_f64()),
        samples.answered.to_string(),
        samples.not_run.to_string(),
        samples.unknown.to_string(),
        doubled.to_owned(),
        p50,
        p99,
    ]
}
