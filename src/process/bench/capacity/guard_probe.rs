//! The cost of one idle guard.

use {
    super::{Point, Probe, Quantity, measure_in_thread, target},
    crate::{
        prelude::*,
        process::{
            bench::{BenchCx, BenchError},
            clock::SystemClock,
            guard::RunningGuard,
            metrics::ProcessUsage,
            settings::GuardSettings,
        },
    },
    compio::net::UdpSocket,
};

/// The numbers of guards that run in one thread.
const SIZES: [u32; 4] = [10, 40, 80, 160];

/// How long each number of guards is watched.
const WATCHED: Duration = Duration::from_secs(5);

/// How long each number of guards is watched when the measurement is brief.
const WATCHED_QUICK: Duration = Duration::from_secs(1);

/// Measures idle guards, as many as fit one thread; the slope is the cost of one.
pub(super) struct GuardProbe;

/// What some guards cost together.
struct Cost {
    guards: u32,
    core_percent: f64,
    megabytes: f64,
}

impl Probe for GuardProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let watched = if cx.is_quick { WATCHED_QUICK } else { WATCHED };
        let costs = measure_in_thread(async move || watch_guards(watched).await)?;
        let point = |cost: &Cost, y| Point {
            x: f64::from(cost.guards),
            y,
        };
        let cpu = costs.iter().map(|c| point(c, c.core_percent)).collect();
        let memory = costs.iter().map(|c| point(c, c.megabytes)).collect();
        Ok(vec![
            quantity(
                "processor time of idle guards",
                "% of a core",
                target::CORE_PERCENT,
                cpu,
            ),
            quantity(
                "resident memory of idle guards",
                "MB",
                target::MEMORY_MB,
                memory,
            ),
        ])
    }
}

fn quantity(
    name: &'static str,
    unit: &'static str,
    bound: f64,
    points: Vec<Point>,
) -> Quantity {
    Quantity {
        role: "guard",
        name,
        unit,
        size: "guards",
        target: 1.0,
        bound: Some(bound),
        mechanism: "process::guard::Guard",
        points,
    }
}

/// Starts more and more idle guards, and returns what they cost together at each number.
async fn watch_guards(watched: Duration) -> Result<Vec<Cost>, BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let sink = UdpSocket::bind(("127.0.0.1", 0)).await?;
    let bytes_before = ProcessUsage::of_self().resident_bytes;
    let mut guards = Vec::new();
    let mut costs = Vec::new();
    for size in SIZES {
        for i in guards.len() as u32..size {
            let settings = guard_settings(i, sink.local_addr()?);
            guards.push(RunningGuard::start(settings, clock.clone()).await?);
        }
        compio::time::sleep(watched / 4).await;
        let core_percent = watch_thread(&*clock, watched).await;
        let bytes = ProcessUsage::of_self()
            .resident_bytes
            .saturating_sub(bytes_before);
        costs.push(Cost {
            guards: size,
            core_percent,
            megabytes: bytes as f64 / 1e6,
        });
    }
    Ok(costs)
}

/// Returns the share of a core that this thread takes over a while, in percent.
async fn watch_thread(
    clock: &dyn Clock,
    watched: Duration,
) -> f64 {
    let before = ProcessUsage::cpu_of_thread();
    let start = clock.now();
    compio::time::sleep(watched).await;
    let spent = ProcessUsage::cpu_of_thread().saturating_sub(before);
    100.0 * spent.as_secs_f64() / clock.now().since(start).as_secs_f64()
}

fn guard_settings(
    number: u32,
    entry: SocketAddr,
) -> GuardSettings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    GuardSettings {
        name: format!("w{number}").as_str().into(),
        region: "region".into(),
        data_centre: "data-centre".into(),
        rack: "rack".into(),
        listen: loopback,
        worker: loopback,
        entries: vec![entry],
        slots: 8,
        connections: 64,
        accelerators: 8,
        plain_tasks: 32,
        http: None,
        drain_timeout: Duration::from_secs(1),
    }
}
