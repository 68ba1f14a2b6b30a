//! Measures the processor time and memory of an idle guard.

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

/// The measured numbers of guards that share one thread.
const GUARD_COUNTS: [u32; 4] = [10, 40, 80, 160];

/// The time for which each number of guards is measured.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(5);

/// The time for which each number of guards is measured in a quick run.
const QUICK_MEASUREMENT_DURATION: Duration = Duration::from_secs(1);

/// Measures several numbers of idle guards in one thread; the slope is the cost of one guard. The
/// guards' only entry is a socket that never answers.
pub(super) struct GuardProbe;

/// The total cost of several guards.
struct GuardCost {
    guard_count: u32,
    core_percent: f64,
    memory_mb: f64,
}

impl Probe for GuardProbe {
    fn measure(
        &self,
        cx: &BenchCx,
    ) -> Result<Vec<Quantity>, BenchError> {
        let duration = if cx.is_quick {
            QUICK_MEASUREMENT_DURATION
        } else {
            MEASUREMENT_DURATION
        };
        let costs = measure_in_thread(async move || measure_guards(duration).await)?;
        let point = |cost: &GuardCost, y| Point {
            x: f64::from(cost.guard_count),
            y,
        };
        let cpu = costs.iter().map(|c| point(c, c.core_percent)).collect();
        let memory = costs.iter().map(|c| point(c, c.memory_mb)).collect();
        Ok(vec![
            guard_quantity(
                "processor time of idle guards",
                "% of a core",
                target::MAX_CORE_PERCENT,
                cpu,
            ),
            guard_quantity(
                "resident memory of idle guards",
                "MB",
                target::MAX_MEMORY_MB,
                memory,
            ),
        ])
    }
}

fn guard_quantity(
    name: &'static str,
    unit: &'static str,
    bound: f64,
    points: Vec<Point>,
) -> Quantity {
    Quantity {
        role: "guard",
        name,
        unit,
        size_unit: "guards",
        target_size: 1.0,
        bound: Some(bound),
        mechanism: "process::guard::Guard",
        points,
    }
}

/// Starts idle guards up to each number, and returns their total cost at each. Before it
/// measures, it waits for a quarter of `duration`.
async fn measure_guards(duration: Duration) -> Result<Vec<GuardCost>, BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let unresponsive_entry = UdpSocket::bind(("127.0.0.1", 0)).await?;
    let bytes_before = ProcessUsage::current().resident_bytes;
    let mut guards = Vec::new();
    let mut costs = Vec::new();
    for size in GUARD_COUNTS {
        for i in guards.len() as u32..size {
            let settings = guard_settings(i, unresponsive_entry.local_addr()?);
            guards.push(RunningGuard::start(settings, clock.clone()).await?);
        }
        compio::time::sleep(duration / 4).await;
        let core_percent = measure_thread_cpu(&*clock, duration).await;
        let bytes = ProcessUsage::current()
            .resident_bytes
            .saturating_sub(bytes_before);
        costs.push(GuardCost {
            guard_count: size,
            core_percent,
            memory_mb: bytes as f64 / 1e6,
        });
    }
    Ok(costs)
}

/// Returns the share of a core that this thread uses over `duration`, in percent.
async fn measure_thread_cpu(
    clock: &dyn Clock,
    duration: Duration,
) -> f64 {
    let before = ProcessUsage::thread_cpu_time();
    let start = clock.now();
    compio::time::sleep(duration).await;
    let used = ProcessUsage::thread_cpu_time().saturating_sub(before);
    100.0 * used.as_secs_f64() / clock.now().since(start).as_secs_f64()
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
        limits: crate::process::limits::ProcessLimits::default(),
    }
}
