//! Runs a whole fleet over UDP sockets and measures one entry in a thread of its own.

use {
    super::{
        Cost,
        counting_link::{CountingLink, TrafficCounter},
        fleet_peers::{link_bytes, run_entries, run_guards},
        fleet_state::{FleetPlan, FleetState, Phase},
        sample::Sample,
        single_entry_cost::MeasuredEntry,
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

/// How long the measured entry may take to know the expected upstreams.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// The interval between checks of the measured entry's member table.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The pause, or the unit of a longer one, in which traffic settles after a change.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// How long traffic is measured after the loss of a data centre was detected.
const LOSS_OBSERVATION_TIME: Duration = Duration::from_secs(15);

/// The cost of membership for one entry, one guard and the link of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetCosts {
    /// The size of the fleet.
    pub plan: FleetPlan,
    /// The number of upstreams that the measured entry watches.
    pub watched_upstreams: u32,
    /// The cost of the measured entry while no load changes.
    pub entry_idle: Cost,
    /// The cost of the measured entry while the load of every upstream changes five times a second.
    pub entry_loaded: Cost,
    /// The traffic of the busiest of the other entries while no load changes, in kilobytes a second.
    pub busiest_entry_idle_kb_per_s: f64,
    /// The traffic of the busiest of the other entries while loads change, in kilobytes a second.
    pub busiest_entry_loaded_kb_per_s: f64,
    /// The traffic of one guard while no load changes, in kilobytes a second.
    pub guard_idle_kb_per_s: f64,
    /// The traffic of one guard while loads change, in kilobytes a second.
    pub guard_loaded_kb_per_s: f64,
    /// The processor time of one guard while no load changes, in percent of a core.
    pub guard_idle_core_percent: f64,
    /// The traffic that all entries count on the link while no load changes, in kilobytes a second.
    pub link_idle_kb_per_s: f64,
    /// The traffic that all entries count on the link while loads change, in kilobytes a second.
    pub link_loaded_kb_per_s: f64,
    /// The cost of a restart and of a loss; `None` when they were not measured.
    pub worst_case: Option<WorstCase>,
}

/// The cost when all entries restart, and when a data centre is lost.
#[derive(Clone, Copy, Debug)]
pub struct WorstCase {
    /// The time until the measured entry knows every upstream after all entries have restarted.
    pub rediscovery_time: Duration,
    /// The traffic in the measured entry's busiest second meanwhile, in kilobytes.
    pub rediscovery_peak_kb: f64,
    /// The number of upstreams in the lost data centre.
    pub lost_upstreams: u32,
    /// The time until the measured entry lists none of them as live.
    pub loss_detection_time: Duration,
    /// The traffic in the measured entry's busiest second from the loss until 15 s after its
    /// detection, in kilobytes.
    pub loss_peak_kb: f64,
}

/// Measures a fleet, for at least `duration` each, while no load changes and while loads change.
/// `with_worst_case` measures a restart of all entries and the loss of a data centre as well.
///
/// # Errors
/// [`BenchError`] when a socket cannot be bound, a thread panics, or the measured entry does not know
/// the expected upstreams within 30 s.
pub fn measure_fleet(
    plan: FleetPlan,
    duration: Duration,
    with_worst_case: bool,
) -> Result<FleetCosts, BenchError> {
    let state = Arc::new(FleetState::new(plan));
    let measured = state.clone();
    let measuring = measure_in_thread(async move || {
        let result = measure(measured.clone(), duration, with_worst_case).await;
        measured.set_phase(Phase::Finished);
        result
    });
    state.set_phase(Phase::Finished);
    measuring
}

/// The measured entry, with the state that it shares with the rest of the fleet.
struct FleetMeasurement {
    state: Arc<FleetState>,
    clock: Rc<dyn Clock>,
    traffic: Rc<TrafficCounter>,
    entry: MeasuredEntry,
}

/// The counters of a fleet at one time.
struct FleetSample {
    entry: Sample,
    at: Millis,
    guard_bytes: u64,
    guard_cpu_us: u64,
    link_bytes: u64,
    entry_bytes: Vec<u64>,
}

async fn measure(
    state: Arc<FleetState>,
    duration: Duration,
    with_worst_case: bool,
) -> Result<FleetCosts, BenchError> {
    let mut fleet = FleetMeasurement::start(state.clone()).await?;
    let entries = spawn_role(state.clone(), run_entries);
    fleet.clock.sleep(SETTLE_TIME).await;
    let guards = spawn_role(state.clone(), run_guards);
    let costs = fleet.measure_all(duration, with_worst_case).await;
    state.set_phase(Phase::Finished);
    fleet.entry.membership.kill();
    for thread in [entries, guards] {
        let joined = thread.join();
        joined.map_err(|_| BenchError::Failed("a thread of the fleet panicked".into()))??;
    }
    costs
}

fn spawn_role<F>(
    state: Arc<FleetState>,
    role: F,
) -> thread::JoinHandle<Result<(), BenchError>>
where
    F: AsyncFnOnce(Arc<FleetState>) -> Result<(), BenchError> + Send + 'static,
{
    thread::spawn(move || Runtime::new()?.block_on(role(state)))
}

impl FleetMeasurement {
    async fn start(state: Arc<FleetState>) -> Result<Self, BenchError> {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let traffic = Rc::new(TrafficCounter::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let entry = Self::start_entry(&state, &clock, &traffic, address).await?;
        state.set_seed(entry.address);
        Ok(Self {
            state,
            clock,
            traffic,
            entry,
        })
    }

    async fn start_entry(
        state: &FleetState,
        clock: &Rc<dyn Clock>,
        traffic: &Rc<TrafficCounter>,
        address: SocketAddr,
    ) -> Result<MeasuredEntry, BenchError> {
        let link = UdpLink::bind(address, clock.clone()).await?;
        let link: Rc<dyn DatagramLink> = Rc::new(CountingLink::new(link, traffic.clone()));
        let (region, data_centre) = state.plan.region_and_name(0);
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
        duration: Duration,
        with_worst_case: bool,
    ) -> Result<FleetCosts, BenchError> {
        let plan = self.state.plan;
        self.wait_for_known_upstreams(plan.upstreams).await?;
        self.clock.sleep(SETTLE_TIME * 6).await;
        let idle = self.measure_interval(duration).await;
        self.state.set_phase(Phase::Loaded);
        self.clock.sleep(SETTLE_TIME).await;
        let interval = load_interval_of(u64::from(plan.upstreams));
        let loaded = self.measure_interval(duration.max(interval * 2)).await;
        let watched_upstreams = self.entry.membership.watched_count() as u32;
        let worst_case = if with_worst_case {
            Some(self.measure_worst_case().await?)
        } else {
            None
        };
        let guards = f64::from(plan.upstreams);
        Ok(FleetCosts {
            plan,
            watched_upstreams,
            entry_idle: idle.entry,
            entry_loaded: loaded.entry,
            busiest_entry_idle_kb_per_s: idle.busiest_entry_kb_per_s,
            busiest_entry_loaded_kb_per_s: loaded.busiest_entry_kb_per_s,
            guard_idle_kb_per_s: idle.guards_kb_per_s / guards,
            guard_loaded_kb_per_s: loaded.guards_kb_per_s / guards,
            guard_idle_core_percent: idle.guards_core_percent / guards,
            link_idle_kb_per_s: idle.link_kb_per_s,
            link_loaded_kb_per_s: loaded.link_kb_per_s,
            worst_case,
        })
    }

    async fn measure_worst_case(&mut self) -> Result<WorstCase, BenchError> {
        let plan = self.state.plan;
        self.entry.membership.kill();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let entry = Self::start_entry(&self.state, &self.clock, &self.traffic, address).await?;
        self.state.set_seed(entry.address);
        self.state.set_phase(Phase::Restarted);
        self.entry = entry;
        let (rediscovery_time, rediscovery_peak_kb) =
            self.wait_for_known_upstreams(plan.upstreams).await?;
        self.clock.sleep(SETTLE_TIME * 3).await;
        let lost_upstreams = plan.last_data_centre_upstreams();
        self.state.set_phase(Phase::DataCentreLost);
        let (loss_detection_time, loss_peak) = self
            .wait_for_known_upstreams(plan.upstreams - lost_upstreams)
            .await?;
        let later = self.busiest_second_kb(LOSS_OBSERVATION_TIME).await;
        Ok(WorstCase {
            rediscovery_time,
            rediscovery_peak_kb,
            lost_upstreams,
            loss_detection_time,
            loss_peak_kb: loss_peak.max(later),
        })
    }

    /// Waits until the measured entry knows exactly this number of upstreams; returns the time that
    /// it took and the traffic in the busiest second, in kilobytes.
    async fn wait_for_known_upstreams(
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
            if now.since(start) > DISCOVERY_TIMEOUT {
                let message =
                    format!("the measured entry knows {known} upstreams; expected {upstreams}");
                return Err(BenchError::Failed(message));
            }
            self.clock.sleep(CHECK_INTERVAL).await;
        }
    }

    /// Measures for `duration` and returns the traffic in the busiest second, in kilobytes.
    async fn busiest_second_kb(
        &self,
        duration: Duration,
    ) -> f64 {
        let mut busiest = 0.0_f64;
        for _ in 0..duration.as_secs() {
            let before = self.traffic.bytes.get();
            self.clock.sleep(Duration::from_secs(1)).await;
            busiest = busiest.max((self.traffic.bytes.get() - before) as f64 / 1000.0);
        }
        busiest
    }

    async fn measure_interval(
        &self,
        duration: Duration,
    ) -> IntervalCost {
        let first = self.sample();
        self.clock.sleep(duration).await;
        first.cost_until(&self.sample())
    }

    fn sample(&self) -> FleetSample {
        let state = &self.state;
        FleetSample {
            entry: Sample::take(&*self.clock, &self.traffic),
            at: self.clock.now(),
            guard_bytes: state.guard_bytes.load(Ordering::Relaxed),
            guard_cpu_us: state.guard_cpu_us.load(Ordering::Relaxed),
            link_bytes: state.link_bytes.load(Ordering::Relaxed) + link_bytes(&self.entry),
            entry_bytes: state
                .entry_bytes
                .lock()
                .map(|b| b.clone())
                .unwrap_or_default(),
        }
    }
}

/// The cost of the parts of a fleet over an interval.
struct IntervalCost {
    entry: Cost,
    busiest_entry_kb_per_s: f64,
    guards_kb_per_s: f64,
    guards_core_percent: f64,
    link_kb_per_s: f64,
}

impl FleetSample {
    fn cost_until(
        &self,
        later: &Self,
    ) -> IntervalCost {
        let seconds = later.at.since(self.at).as_secs_f64();
        let kilobytes = |from: u64, to: u64| to.saturating_sub(from) as f64 / 1000.0 / seconds;
        let cpu_us = later.guard_cpu_us.saturating_sub(self.guard_cpu_us);
        let entries = self.entry_bytes.iter().zip(&later.entry_bytes);
        let busiest = entries.map(|(from, to)| kilobytes(*from, *to));
        IntervalCost {
            busiest_entry_kb_per_s: busiest.fold(0.0, f64::max),
            entry: self.entry.cost_until(&later.entry),
            guards_kb_per_s: kilobytes(self.guard_bytes, later.guard_bytes),
            guards_core_percent: 100.0 * cpu_us as f64 / 1e6 / seconds,
            link_kb_per_s: kilobytes(self.link_bytes, later.link_bytes),
        }
    }
}
