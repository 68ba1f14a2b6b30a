//! A comparison of routing policies.

use {
    super::{DataCentreSpec, RequestStream, Samples, Testbed},
    crate::{
        prelude::*,
        process::{
            bench::{BenchError, Table},
            link::LinkPurpose,
            stand_in::RunMode,
        },
        request::{
            LeastConnectionsRouting, LeastWaitRouting, RandomRouting, RoundRobinRouting,
            RoutingPolicy,
        },
    },
    futures_util::future::join_all,
};

/// The run time of a request, in milliseconds.
const RUN_MS: u64 = 10;

/// The factor by which requests run longer at the slow upstream.
const SLOW_FACTOR: u32 = 10;

/// The number of concurrent callers of each entry.
const CALLERS: usize = 8;

/// A routing policy with its name in the tables.
struct NamedPolicy {
    name: &'static str,
    policy: Rc<dyn RoutingPolicy>,
}

fn policies(seed: u64) -> [NamedPolicy; 4] {
    let named = |name, policy| NamedPolicy { name, policy };
    [
        named("least wait", Rc::new(LeastWaitRouting::new(seed))),
        named("random", Rc::new(RandomRouting::new(seed))),
        named("round robin", Rc::new(RoundRobinRouting::default())),
        named("least connections", Rc::new(LeastConnectionsRouting)),
    ]
}

/// Loads every entry with the stream for a time and returns the outcomes for each entry.
async fn load_all_entries(
    testbed: &Rc<Testbed>,
    stream: &RequestStream,
    duration: Duration,
) -> Vec<Samples> {
    let entries = 0..testbed.system.borrow().entries().len();
    let streams: Vec<RequestStream> = entries.map(|i| stream.clone().via_entry(i)).collect();
    let loads = streams
        .iter()
        .map(|s| testbed.run_closed_loop(s, CALLERS, duration));
    join_all(loads).await
}

/// Measures each policy with equally fast upstreams and with one that is [`SLOW_FACTOR`] times as
/// slow.
pub(super) async fn measure_slow(
    duration: Duration,
    seed: u64,
) -> Result<Table, BenchError> {
    let columns = [
        "policy",
        "upstreams",
        "requests/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "at the slow one",
    ];
    let mut table = Table::new("requests-slow-upstream", &columns);
    let data_centre = DataCentreSpec {
        name: "jozi-1",
        region: "jozi",
        entry_count: 2,
        worker_count: 6,
    };
    for (upstreams, mode) in [
        ("equal", RunMode::Normal),
        ("one slow", RunMode::Slow(SLOW_FACTOR)),
    ] {
        for NamedPolicy { name, policy } in policies(seed) {
            let testbed = Rc::new(Testbed::start(&[data_centre], 4).await?);
            testbed.set_routing_policy(&policy);
            let slow_upstream = testbed.system.borrow().upstreams()[0].clone();
            slow_upstream.requests().set_mode(mode);
            let stream = RequestStream::new("jozi-studios", "normal", RUN_MS);
            let results = load_all_entries(&testbed, &stream, duration).await;
            let answered: u64 = results.iter().map(|s| s.answered).sum();
            let requests_at_slow = slow_upstream.requests().run_counts().len() as f64;
            drop(slow_upstream);
            let mut cells = vec![name.to_owned(), upstreams.to_owned()];
            cells.push(format!("{:.0}", answered as f64 / duration.as_secs_f64()));
            cells.extend(results[0].quantile_cells());
            cells.push(format!("{:.3}", requests_at_slow / answered.max(1) as f64));
            table.push_row(cells);
            testbed.stop().await;
        }
    }
    Ok(table)
}

/// Returns the bytes that requests sent over the link between regions, summed over all entries.
fn link_bytes(testbed: &Testbed) -> u64 {
    let system = testbed.system.borrow();
    let links = system.entries().iter().map(|e| &e.entry().link_traffic);
    links.map(|l| l.bytes(LinkPurpose::Requests)).sum()
}

/// Measures the bytes that requests send over the link between regions under each policy.
pub(super) async fn measure_regions(
    duration: Duration,
    seed: u64,
) -> Result<Table, BenchError> {
    let columns = [
        "policy",
        "answered",
        "link bytes",
        "bytes a request",
        "p50 ms",
        "p99 ms",
    ];
    let mut table = Table::new("requests-regions", &columns);
    let data_centres =
        [("jozi-1", "jozi"), ("kaapstad-1", "kaapstad")].map(|(name, region)| DataCentreSpec {
            name,
            region,
            entry_count: 1,
            worker_count: 3,
        });
    for NamedPolicy { name, policy } in policies(seed) {
        let testbed = Rc::new(Testbed::start(&data_centres, 4).await?);
        testbed.set_routing_policy(&policy);
        let mut stream = RequestStream::new("jozi-studios", "normal", RUN_MS);
        stream.body += &format!("&dump={}", "x".repeat(4096));
        let results = load_all_entries(&testbed, &stream, duration).await;
        let answered: u64 = results.iter().map(|s| s.answered).sum();
        let bytes = link_bytes(&testbed);
        let [p50, p99, _] = results[0].quantile_cells();
        table.push_row(vec![
            name.to_owned(),
            answered.to_string(),
            bytes.to_string(),
            format!("{:.0}", bytes as f64 / answered.max(1) as f64),
            p50,
            p99,
        ]);
        testbed.stop().await;
    }
    Ok(table)
}
