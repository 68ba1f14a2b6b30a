//! Runs the guards and the other entries of a measured fleet, each kind in a thread of its own.

use {
    super::{
        counting_link::{CountingLink, TrafficCounter},
        fleet_state::{FleetState, Phase},
        single_entry_cost::MeasuredEntry,
        upstream_generator::generated_upstream,
    },
    crate::{
        prelude::*,
        process::{
            bench::BenchError,
            clock::SystemClock,
            link::LinkPurpose,
            membership::{
                Announcement, Announcer, AnnouncerContext, DatagramLink, UdpLink, new_incarnation,
            },
            metrics::ProcessUsage,
        },
    },
    event_listener::Event,
    std::sync::atomic::Ordering,
};

/// The interval between checks of the fleet's phase.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval between two changes of an upstream's load.
const LOAD_CHANGE_INTERVAL: Duration = Duration::from_millis(200);

const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A guard that only announces its upstream.
struct AnnouncingGuard {
    data_centre: u32,
    announcer: Rc<Announcer>,
    announcement: Rc<RefCell<Announcement>>,
    changed: Rc<Event>,
}

/// Runs the guards until the fleet's run has ended.
///
/// # Errors
/// [`BenchError`] when a socket cannot be bound.
pub(super) async fn run_guards(state: Arc<FleetState>) -> Result<(), BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let traffic = Rc::new(TrafficCounter::default());
    let mut guards = Vec::new();
    for i in 0..state.plan.upstreams {
        guards.push(start_guard(&clock, &traffic, &state, i).await?);
    }
    let mut last_load_change = clock.now();
    while state.phase() != Phase::Finished {
        clock.sleep(CHECK_INTERVAL).await;
        state
            .guard_bytes
            .store(traffic.bytes.get(), Ordering::Relaxed);
        let cpu = ProcessUsage::thread_cpu_time().as_micros() as u64;
        state.guard_cpu_us.store(cpu, Ordering::Relaxed);
        if state.phase() == Phase::Loaded
            && clock.now().since(last_load_change) >= LOAD_CHANGE_INTERVAL
        {
            last_load_change = clock.now();
            change_loads(&guards);
        }
        if state.phase() == Phase::DataCentreLost {
            let last = state.plan.data_centres - 1;
            let lost = guards.extract_if(.., |g| g.data_centre == last);
            lost.for_each(|g| g.announcer.kill());
        }
    }
    guards.iter().for_each(|g| g.announcer.kill());
    Ok(())
}

async fn start_guard(
    clock: &Rc<dyn Clock>,
    traffic: &Rc<TrafficCounter>,
    state: &FleetState,
    number: u32,
) -> Result<AnnouncingGuard, BenchError> {
    let data_centre = number % state.plan.data_centres;
    let (region, name) = state.plan.region_and_name(data_centre);
    let link = UdpLink::bind(ANY_LOOPBACK_PORT, clock.clone()).await?;
    let address = link.address();
    let incarnation = new_incarnation(&**clock);
    let announcement = generated_upstream(number, (&region, &name), incarnation, address);
    let announcement = Rc::new(RefCell::new(announcement));
    let changed = Rc::new(Event::new());
    let next_content = announcement.clone();
    let announcer = Announcer::start(AnnouncerContext {
        clock: clock.clone(),
        link: Rc::new(CountingLink::new(link, traffic.clone())),
        seeds: state.seed().into_iter().collect(),
        changed: changed.clone(),
        next_announcement: Box::new(move || {
            let mut announcement = next_content.borrow_mut();
            announcement.sequence += 1;
            announcement.clone()
        }),
        seed: u64::from(number),
    });
    Ok(AnnouncingGuard {
        data_centre,
        announcer,
        announcement,
        changed,
    })
}

/// Changes the number of slots in use at every upstream.
fn change_loads(guards: &[AnnouncingGuard]) {
    for guard in guards {
        let mut announcement = guard.announcement.borrow_mut();
        announcement.slots_in_use = (announcement.slots_in_use + 1) % 8;
        guard.changed.notify(usize::MAX);
    }
}

/// Runs all entries but the measured one until the fleet's run has ended.
///
/// # Errors
/// [`BenchError`] when a socket cannot be bound.
pub(super) async fn run_entries(state: Arc<FleetState>) -> Result<(), BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let mut entries = Vec::new();
    for number in 1..state.plan.entries_per_data_centre * state.plan.data_centres {
        entries.push(start_entry(&clock, &state, number, ANY_LOOPBACK_PORT).await?);
    }
    let mut is_restarted = false;
    while state.phase() != Phase::Finished {
        clock.sleep(CHECK_INTERVAL).await;
        let link_bytes = entries.iter().map(link_bytes).sum();
        state.link_bytes.store(link_bytes, Ordering::Relaxed);
        if let Ok(mut bytes) = state.entry_bytes.lock() {
            *bytes = entries.iter().map(membership_bytes).collect();
        }
        if state.phase() == Phase::Restarted && !is_restarted {
            is_restarted = true;
            restart_entries(&clock, &state, &mut entries).await?;
        }
        if state.phase() == Phase::DataCentreLost {
            let kept = (state.plan.data_centres - 1) * state.plan.entries_per_data_centre - 1;
            let lost = entries.split_off(entries.len().min(kept as usize));
            lost.iter().for_each(|e| e.membership.kill());
        }
    }
    entries.iter().for_each(|e| e.membership.kill());
    Ok(())
}

async fn start_entry(
    clock: &Rc<dyn Clock>,
    state: &FleetState,
    number: u32,
    address: SocketAddr,
) -> Result<MeasuredEntry, BenchError> {
    let (region, data_centre) = state
        .plan
        .region_and_name(number / state.plan.entries_per_data_centre);
    let link = UdpLink::bind(address, clock.clone()).await?;
    Ok(MeasuredEntry::start(
        clock.clone(),
        Rc::new(link),
        &format!("entry-{number}"),
        (&region, &data_centre),
        state.seed().into_iter().collect(),
    ))
}

/// Stops every entry and starts it again at its address.
async fn restart_entries(
    clock: &Rc<dyn Clock>,
    state: &FleetState,
    entries: &mut Vec<MeasuredEntry>,
) -> Result<(), BenchError> {
    let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    for entry in entries.drain(..) {
        entry.membership.kill();
    }
    clock.sleep(CHECK_INTERVAL).await;
    for (i, address) in addresses.into_iter().enumerate() {
        entries.push(start_entry(clock, state, i as u32 + 1, address).await?);
    }
    Ok(())
}

/// Returns the bytes that an entry has sent and received.
fn membership_bytes(entry: &MeasuredEntry) -> u64 {
    let bytes = |direction: &str| {
        let counters = &entry.metrics.membership_bytes;
        counters.with_label_values(&[direction]).get()
    };
    bytes("sent") + bytes("received")
}

/// Returns the membership bytes that an entry has counted on the link between regions: those that it
/// sent, and the full announcements that it received.
pub(super) fn link_bytes(entry: &MeasuredEntry) -> u64 {
    let purpose = LinkPurpose::Membership.to_string();
    let counter = entry.metrics.link_bytes.with_label_values(&[&purpose]);
    counter.get()
}
