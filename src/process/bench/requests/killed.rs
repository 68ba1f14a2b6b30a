//! The effect on requests of killing a third of the guards under load.

use {
    super::{DataCentreSpec, RequestStream, Samples, Testbed},
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

/// The run time of a request, in milliseconds.
const RUN_MS: u64 = 10;

/// The number of workers.
const WORKERS: u32 = 6;

/// The number of guards that are killed.
const KILLED_GUARDS: usize = 2;

/// The number of concurrent callers of each stream.
const CALLERS: usize = 4;

/// Measures the outcomes of requests in three phases: before guards are killed, while they are
/// killed half-way through the phase, and after.
pub(super) async fn measure(duration: Duration) -> Result<Table, BenchError> {
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
    let data_centre = DataCentreSpec {
        name: "jozi-1",
        region: "jozi",
        entry_count: 1,
        worker_count: WORKERS,
    };
    let testbed = Rc::new(Testbed::start(&[data_centre], 4).await?);
    let upstreams = testbed.system.borrow().upstreams().to_vec();
    for phase in ["before", "killed within", "after"] {
        let (idempotent, once, ()) = measure_phase(&testbed, phase, duration).await;
        let repeated = count_repeated_requests(&upstreams);
        for (kind, samples, repeated) in [
            ("idempotent", &idempotent, "-"),
            ("once", &once, &*repeated),
        ] {
            table.push_row(row(kind, phase, samples, repeated, duration));
        }
    }
    testbed.stop().await;
    Ok(table)
}

/// Loads the system with both streams for a time, and kills guards if it is the phase for it.
/// Returns the outcomes of the idempotent and of the other stream.
async fn measure_phase(
    testbed: &Rc<Testbed>,
    phase: &str,
    duration: Duration,
) -> (Samples, Samples, ()) {
    let idempotent = RequestStream::new("jozi-studios", "normal", RUN_MS);
    let once = RequestStream::new("producers", "once", RUN_MS);
    let killing = async {
        if phase == "killed within" {
            compio::time::sleep(duration / 2).await;
            for _ in 0..KILLED_GUARDS {
                testbed.system.borrow_mut().kill_guard(0);
            }
        }
    };
    join3(
        testbed.run_closed_loop(&idempotent, CALLERS, duration),
        testbed.run_closed_loop(&once, CALLERS, duration),
        killing,
    )
    .await
}

/// Returns the number of requests that are not idempotent and were run more than once over all
/// upstreams.
fn count_repeated_requests(upstreams: &[Rc<StandInUpstream>]) -> String {
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
    phase: &str,
    samples: &Samples,
    repeated: &str,
    duration: Duration,
) -> Vec<String> {
    let [p50, p99, _] = samples.quantile_cells();
    vec![
        kind.to_owned(),
        phase.to_owned(),
        format!("{:.0}", samples.answered as f64 / duration.as_secs_f64()),
        samples.answered.to_string(),
        samples.not_run.to_string(),
        samples.unknown.to_string(),
        repeated.to_owned(),
        p50,
        p99,
    ]
}
