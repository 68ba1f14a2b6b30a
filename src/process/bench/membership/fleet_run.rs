//! A whole fleet over real sockets, with one entry measured alone in its thread.

use {
    super::{
        Cost,
        counting_link::{CountingLink, Traffic},
        fleet_peers::{link_bytes, run_entries, run_guards},
        fleet_stage::{FleetPlan, FleetStage, Phase},
        sample::Sample,
        watched_run::MeasuredEntry,
    },
    crate::{
        prelude::*,
        process::{
            bench::{BenchError, capacity::measure_in_thread},
            clock::SystemClock,
            membership::{DatagramLink, UdpLink, load_interval_of},
        },
    },
    compio::runtime::Runtime,
    std::{sync::atomic::Ordering, thread},
};

/// How long a fleet may take to know itself.
const KNOW_TIMEOUT: Duration = Duration::from_secs(30);

/// How often the measured entry's table is looked at.
const LOOK: Duration = Duration::from_millis(10);

/// How long after a fleet knows itself its traffic is at rest.
const REST: Duration = Duration::from_secs(2);

/// How long the traffic after the loss of a data centre is looked at.
const LOSS_SPAN: Duration = Duration::from_secs(15);

/// What one entry, one guard and the link cost in a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetCosts {
    /// The sizes.
    pub plan: FleetPlan,
    /// The upstreams that the entry watches.
    pub watched: u32,
    /// The entry while nothing changes.
    pub idle: Cost,
    /// The entry while the load of every upstream changes five times a second.
    pub loaded: Cost,
    /// The busiest of the other entries while nothing changes, in kilobytes a second.
    pub busiest_idle: f64,
    /// The busiest of the other entries while loads change, in kilobytes a second.
    pub busiest_loaded: f64,
    /// One guard while nothing changes, in kilobytes a second.
    pub guard_idle: f64,
    /// One guard while loads change, in kilobytes a second.
    pub guard_loaded: f64,
    /// One guard while nothing changes, in percent of a core.
    pub guard_core_percent: f64,
    /// What all entries send over the link while nothing changes, in kilobytes a second.
    pub link_idle: f64,
    /// What all entries send over the link while loads change, in kilobytes a second.
    pub link_loaded: f64,
    /// What happens in the worst minute; `None` when it was not looked at.
    pub worst: Option<WorstMinute>,
}

/// What happens when all entries start anew, and when a data centre is lost.
#[derive(Clone, Copy, Debug)]
pub struct WorstMinute {
    /// The time until the entry knows every upstream after all entries have started anew.
    pub relearnt: Duration,
    /// The entry's busiest second meanwhile, in kilobytes.
    pub relearn_peak: f64,
    /// The upstreams of the lost data centre.
    pub lost: u32,
    /// The time until the entry knows none of them.
    pub noticed: Duration,
    /// The entry's busiest second meanwhile, in kilobytes.
    pub loss_peak: f64,
}

/// Measures a fleet; `worst` tells whether the worst minute is looked at.
///
/// # Errors
/// [`BenchError`] when the fleet does not come about.
pub fn run_fleet(
    plan: FleetPlan,
    watched: Duration,
    worst: bool,
) -> Result<FleetCosts, BenchError> {
    let stage = Arc::new(FleetStage::new(plan));
    let measured = stage.clone();
    let measuring = measure_in_thread(async move || {
        let result = measure(measured.clone(), watched, worst).await;
        measured.set_phase(Phase::Over);
        result
    });
    stage.set_phase(Phase::Over);
    measuring
}

/// The measured entry and the counts of the others.
struct Measured {
    stage: Arc<FleetStage>,
    clock: Rc<dyn Clock>,
    traffic: Rc<Traffic>,
    entry: MeasuredEntry,
}

/// The counts of a fleet at a time.
struct FleetSample {
    entry: Sample,
    at: Millis,
    guard_bytes: u64,
    guard_cpu_us: u64,
    link_bytes: u64,
    entry_bytes: Vec<u64>,
}

async fn measure(
    stage: Arc<FleetStage>,
    watched: Duration,
    worst: bool,
) -> Result<FleetCosts, BenchError> {
    let mut fleet = Measured::start(stage.clone()).await?;
    let entries = start_thread(stage.clone(), run_entries);
    fleet.clock.sleep(REST).await;
    let guards = start_thread(stage.clone(), run_guards);
    let costs = fleet.measure_all(watched, worst).await;
    stage.set_phase(Phase::Over);
    fleet.entry.membership.kill();
    for thread in [entries, guards] {
        let joined = thread.join();
        joined.map_err(|_| BenchError::Failed("a thread of the fleet panicked".into()))??;
    }
    costs
}

fn start_thread<F>(
    stage: Arc<FleetStage>,
    role: F,
) -> thread::JoinHandle<Result<(), BenchError>>
where
    F: AsyncFnOnce(Arc<FleetStage>) -> Result<(), BenchError> + Send + 'static,
{
    thread::spawn(move || Runtime::new()?.block_on(role(stage)))
}

impl Measured {
    async fn start(stage: Arc<FleetStage>) -> Result<Self, BenchError> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let traffic = Rc::new(Traffic::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let entry = Self::start_entry(&stage, &clock, &traffic, address).await?;
        stage.set_seed(entry.address);
        Ok(Self {
            stage,
            clock,
            traffic,
            entry,
        })
    }

    async fn start_entry(
        stage: &FleetStage,
        clock: &Rc<dyn Clock>,
        traffic: &Rc<Traffic>,
        address: SocketAddr,
    ) -> Result<MeasuredEntry, BenchError> {
        let link = UdpLink::bind(address, clock.clone()).await?;
        let link: Rc<dyn DatagramLink> = Rc::new(CountingLink::new(link, traffic.clone()));
        let (region, data_centre) = stage.plan.place(0);
        let place = (region.as_str(), data_centre.as_str());
        Ok(MeasuredEntry::start(
            clock.clone(),
            link,
            "entry-0",
            place,
            Vec::new(),
        ))
    }

    async fn measure_all(
        &mut self,
        watched: Duration,
        worst: bool,
    ) -> Result<FleetCosts, BenchError> {
        let plan = self.stage.plan;
        self.wait_for(plan.upstreams).await?;
        self.clock.sleep(REST * 6).await;
        let idle = self.watch(watched).await;
        self.stage.set_phase(Phase::Loaded);
        self.clock.sleep(REST).await;
        let interval = load_interval_of(u64::from(plan.upstreams));
        let loaded = self.watch(watched.max(interval * 2)).await;
        let watches = self.entry.membership.watched_count() as u32;
        let worst = if worst {
            Some(self.worst_minute().await?)
        } else {
            None
        };
        let guards = f64::from(plan.upstreams);
        Ok(FleetCosts {
            plan,
            watched: watches,
            idle: idle.entry,
            loaded: loaded.entry,
            busiest_idle: idle.busiest_kilobytes,
            busiest_loaded: loaded.busiest_kilobytes,
            guard_idle: idle.guards_kilobytes / guards,
            guard_loaded: loaded.guards_kilobytes / guards,
            guard_core_percent: idle.guards_core_percent / guards,
            link_idle: idle.link_kilobytes,
            link_loaded: loaded.link_kilobytes,
            worst,
        })
    }

    async fn worst_minute(&mut self) -> Result<WorstMinute, BenchError> {
        let plan = self.stage.plan;
        self.entry.membership.kill();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let entry = Self::start_entry(&self.stage, &self.clock, &self.traffic, address).await?;
        self.stage.set_seed(entry.address);
        self.stage.set_phase(Phase::Restarted);
        self.entry = entry;
        let (relearnt, relearn_peak) = self.wait_for(plan.upstreams).await?;
        self.clock.sleep(REST * 3).await;
        let lost = plan.last_upstreams();
        self.stage.set_phase(Phase::Lost);
        let (noticed, loss_peak) = self.wait_for(plan.upstreams - lost).await?;
        let later = self.busiest_second(LOSS_SPAN).await;
        Ok(WorstMinute {
            relearnt,
            relearn_peak,
            lost,
            noticed,
            loss_peak: loss_peak.max(later),
        })
    }

    /// Waits until the entry knows a number of upstreams; returns the time that it took and the
    /// busiest second, in kilobytes.
    async fn wait_for(
        &self,
        upstreams: u32,
    ) -> Result<(Duration, f64), BenchError> {
        let start = self.clock.now();
        let mut busiest = 0.0_f64;
        let mut second = (start, self.traffic.bytes.get());
        loop {
            let now = self.clock.now();
            let bytes = self.traffic.bytes.get();
            if now.since(second.0) >= Duration::from_secs(1) {
                busiest = busiest.max((bytes - second.1) as f64 / 1000.0);
                second = (now, bytes);
            }
            let known = self.entry.members.borrow().live(now).len() as u32;
            if known == upstreams {
                let rest = (bytes - second.1) as f64 / 1000.0;
                return Ok((now.since(start), busiest.max(rest)));
            }
            if now.since(start) > KNOW_TIMEOUT {
                let message = format!("the entry knows {known} upstreams in place of {upstreams}");
                return Err(BenchError::Failed(message));
            }
            self.clock.sleep(LOOK).await;
        }
    }

    /// Returns the busiest second of a while, in kilobytes.
    async fn busiest_second(
        &self,
        span: Duration,
    ) -> f64 {
        let mut busiest = 0.0_f64;
        for _ in 0..span.as_secs() {
            let before = self.traffic.bytes.get();
            self.clock.sleep(Duration::from_secs(1)).await;
            busiest = busiest.max((self.traffic.bytes.get() - before) as f64 / 1000.0);
        }
        busiest
    }

    async fn watch(
        &self,
        span: Duration,
    ) -> FleetCost {
        let first = self.sample();
        self.clock.sleep(span).await;
        first.cost_until(&self.sample())
    }

    fn sample(&self) -> FleetSample {
        let stage = &self.stage;
        FleetSample {
            entry: Sample::take(&*self.clock, &self.traffic),
            at: self.clock.now(),
            guard_bytes: stage.guard_bytes.load(Ordering::Relaxed),
            guard_cpu_us: stage.guard_cpu_us.load(Ordering::Relaxed),
            link_bytes: stage.link_bytes.load(Ordering::Relaxed) + link_bytes(&self.entry),
            entry_bytes: stage
                .entry_bytes
                .lock()
                .map(|b| b.clone())
                .unwrap_or_default(),
        }
    }
}

/// What the parts of a fleet cost.
struct FleetCost {
    entry: Cost,
    busiest_kilobytes: f64,
    guards_kilobytes: f64,
    guards_core_percent: f64,
    link_kilobytes: f64,
}

impl FleetSample {
    fn cost_until(
        &self,
        later: &Self,
    ) -> FleetCost {
        let seconds = later.at.since(self.at).as_secs_f64();
        let kilobytes = |from: u64, to: u64| to.saturating_sub(from) as f64 / 1000.0 / seconds;
        let cpu_us = later.guard_cpu_us.saturating_sub(self.guard_cpu_us);
        let entries = self.entry_bytes.iter().zip(&later.entry_bytes);
        let busiest = entries.map(|(from, to)| kilobytes(*from, *to));
        FleetCost {
            busiest_kilobytes: busiest.fold(0.0, f64::max),
            entry: self.entry.cost_until(&later.entry),
            guards_kilobytes: kilobytes(self.guard_bytes, later.guard_bytes),
            guards_core_percent: 100.0 * cpu_us as f64 / 1e6 / seconds,
            link_kilobytes: kilobytes(self.link_bytes, later.link_bytes),
        }
    }
}
