//! Routing policies against each other.

use {
    super::{Bed, Samples, Site, Stream},
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

/// How long a request runs, in milliseconds.
const RUN_MS: u64 = 10;

/// How many times slower the slow upstream is.
const SLOW_FACTOR: u32 = 10;

/// The callers of each entry.
const CALLERS: usize = 8;

/// A policy with its name.
struct Named {
    name: &'static str,
    policy: Rc<dyn RoutingPolicy>,
}

fn policies(seed: u64) -> [Named; 4] {
    let named = |name, policy| Named { name, policy };
    [
        named("least wait", Rc::new(LeastWaitRouting::new(seed))),
        named("random", Rc::new(RandomRouting::new(seed))),
        named("round robin", Rc::new(RoundRobinRouting::default())),
        named("least connections", Rc::new(LeastConnectionsRouting)),
    ]
}

/// Keeps callers at every entry busy and adds up what they saw.
async fn load_all(
    bed: &Rc<Bed>,
    stream: &Stream,
    span: Duration,
) -> Vec<Samples> {
    let entries = 0..bed.system.borrow().entries().len();
    let streams: Vec<Stream> = entries.map(|i| stream.clone().through(i)).collect();
    let loads = streams.iter().map(|s| bed.closed_loop(s, CALLERS, span));
    join_all(loads).await
}

/// Measures each policy with equal upstreams and with one that is ten times as slow.
pub(super) async fn measure_slow(
    span: Duration,
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
    let site = Site {
        name: "jozi-1",
        region: "jozi",
        entries: 2,
        workers: 6,
    };
    for (upstreams, mode) in [
        ("equal", RunMode::Normal),
        ("one slow", RunMode::Slow(SLOW_FACTOR)),
    ] {
        for Named { name, policy } in policies(seed) {
            let bed = Rc::new(Bed::start(&[site], 4).await?);
            bed.set_routing(&policy);
            let slow = bed.system.borrow().upstreams()[0].clone();
            slow.requests().set_mode(mode);
            let stream = Stream::new("jozi-studios", "normal", RUN_MS);
            let results = load_all(&bed, &stream, span).await;
            let answered: u64 = results.iter().map(|s| s.answered).sum();
            let at_slow = slow.requests().run_counts().len() as f64;
            drop(slow);
            let mut cells = vec![name.to_owned(), upstreams.to_owned()];
            cells.push(format!("{:.0}", answered as f64 / span.as_secs_f64()));
            cells.extend(results[0].quantile_cells());
            cells.push(format!("{:.3}", at_slow / answered.max(1) as f64));
            table.push_row(cells);
            bed.stop().await;
        }
    }
    Ok(table)
}

/// Returns the bytes of requests on the link, as all entries count them.
fn link_bytes(bed: &Bed) -> u64 {
    let system = bed.system.borrow();
    let links = system.entries().iter().map(|e| &e.entry().link);
    links.map(|l| l.bytes(LinkPurpose::Requests)).sum()
}

/// Measures the bytes that requests bring over the link between regions under each policy.
pub(super) async fn measure_regions(
    span: Duration,
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
    let sites = [("jozi-1", "jozi"), ("kaapstad-1", "kaapstad")].map(|(name, region)| Site {
        name,
        region,
        entries: 1,
        workers: 3,
    });
    for Named { name, policy } in policies(seed) {
        let bed = Rc::new(Bed::start(&sites, 4).await?);
        bed.set_routing(&policy);
        let mut stream = Stream::new("jozi-studios", "normal", RUN_MS);
        stream.body += &format!("&dump={}", "x".repeat(4096));
        let results = load_all(&bed, &stream, span).await;
        let answered: u64 = results.iter().map(|s| s.answered).sum();
        let bytes = link_bytes(&bed);
        let [p50, p99, _] = results[0].quantile_cells();
        table.push_row(vec![
            name.to_owned(),
            answered.to_string(),
            bytes.to_string(),
            format!("{:.0}", bytes as f64 / answered.max(1) as f64),
            p50,
            p99,
        ]);
        bed.stop().await;
    }
    Ok(table)
}
