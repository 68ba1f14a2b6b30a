//! The guards and the other entries of a measured fleet, each kind in a thread of its own.

use {
    super::{
        counting_link::{CountingLink, Traffic},
        fleet_stage::{FleetStage, Phase},
        light_generator::generated_upstream,
        watched_run::MeasuredEntry,
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

/// How often the phase is looked at.
const LOOK: Duration = Duration::from_millis(20);

/// The pause between two changes of an upstream's load.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Where every socket is bound.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One guard that announces and does nothing else.
struct Guard {
    data_centre: u32,
    announcer: Rc<Announcer>,
    announcement: Rc<RefCell<Announcement>>,
    changed: Rc<Event>,
}

/// Runs the guards until the fleet's run is over.
///
/// # Errors
/// [`BenchError`] when a socket cannot be bound.
pub(super) async fn run_guards(stage: Arc<FleetStage>) -> Result<(), BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let traffic = Rc::new(Traffic::default());
    let mut guards = Vec::new();
    for i in 0..stage.plan.upstreams {
        guards.push(start_guard(&clock, &traffic, &stage, i).await?);
    }
    let mut loaded = clock.now();
    while stage.phase() != Phase::Over {
        clock.sleep(LOOK).await;
        stage
            .guard_bytes
            .store(traffic.bytes.get(), Ordering::Relaxed);
        let cpu = ProcessUsage::thread_cpu_time().as_micros() as u64;
        stage.guard_cpu_us.store(cpu, Ordering::Relaxed);
        if stage.phase() == Phase::Loaded && clock.now().since(loaded) >= LOAD_INTERVAL {
            loaded = clock.now();
            change_loads(&guards);
        }
        if stage.phase() == Phase::Lost {
            let last = stage.plan.data_centres - 1;
            let lost = guards.extract_if(.., |g| g.data_centre == last);
            lost.for_each(|g| g.announcer.kill());
        }
    }
    guards.iter().for_each(|g| g.announcer.kill());
    Ok(())
}

async fn start_guard(
    clock: &Rc<dyn Clock>,
    traffic: &Rc<Traffic>,
    stage: &FleetStage,
    number: u32,
) -> Result<Guard, BenchError> {
    let data_centre = number % stage.plan.data_centres;
    let (region, name) = stage.plan.place(data_centre);
    let link = UdpLink::bind(LOOPBACK, clock.clone()).await?;
    let address = link.address();
    let incarnation = new_incarnation(&**clock);
    let announcement = generated_upstream(number, (&region, &name), incarnation, address);
    let announcement = Rc::new(RefCell::new(announcement));
    let changed = Rc::new(Event::new());
    let described = announcement.clone();
    let announcer = Announcer::start(AnnouncerContext {
        clock: clock.clone(),
        link: Rc::new(CountingLink::new(link, traffic.clone())),
        seeds: stage.seed().into_iter().collect(),
        changed: changed.clone(),
        next_announcement: Box::new(move || {
            let mut announcement = described.borrow_mut();
            announcement.sequence += 1;
            announcement.clone()
        }),
        seed: u64::from(number),
    });
    Ok(Guard {
        data_centre,
        announcer,
        announcement,
        changed,
    })
}

/// Takes or gives back a slot of every upstream.
fn change_loads(guards: &[Guard]) {
    for guard in guards {
        let mut announcement = guard.announcement.borrow_mut();
        announcement.slots_in_use = (announcement.slots_in_use + 1) % 8;
        guard.changed.notify(usize::MAX);
    }
}

/// Runs all entries but the first until the fleet's run is over.
///
/// # Errors
/// [`BenchError`] when a socket cannot be bound.
pub(super) async fn run_entries(stage: Arc<FleetStage>) -> Result<(), BenchError> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let mut entries = Vec::new();
    for number in 1..stage.plan.entries * stage.plan.data_centres {
        entries.push(start_entry(&clock, &stage, number, LOOPBACK).await?);
    }
    let mut is_restarted = false;
    while stage.phase() != Phase::Over {
        clock.sleep(LOOK).await;
        let link_bytes = entries.iter().map(link_bytes).sum();
        stage.link_bytes.store(link_bytes, Ordering::Relaxed);
        if let Ok(mut bytes) = stage.entry_bytes.lock() {
            *bytes = entries.iter().map(all_bytes).collect();
        }
        if stage.phase() == Phase::Restarted && !is_restarted {
            is_restarted = true;
            restart(&clock, &stage, &mut entries).await?;
        }
        if stage.phase() == Phase::Lost {
            let kept = (stage.plan.data_centres - 1) * stage.plan.entries - 1;
            let lost = entries.split_off(entries.len().min(kept as usize));
            lost.iter().for_each(|e| e.membership.kill());
        }
    }
    entries.iter().for_each(|e| e.membership.kill());
    Ok(())
}

async fn start_entry(
    clock: &Rc<dyn Clock>,
    stage: &FleetStage,
    number: u32,
    address: SocketAddr,
) -> Result<MeasuredEntry, BenchError> {
    let (region, data_centre) = stage.plan.place(number / stage.plan.entries);
    let link = UdpLink::bind(address, clock.clone()).await?;
    Ok(MeasuredEntry::start(
        clock.clone(),
        Rc::new(link),
        &format!("entry-{number}"),
        (&region, &data_centre),
        stage.seed().into_iter().collect(),
    ))
}

/// Ends every entry and starts it anew at its address.
async fn restart(
    clock: &Rc<dyn Clock>,
    stage: &FleetStage,
    entries: &mut Vec<MeasuredEntry>,
) -> Result<(), BenchError> {
    let addresses: Vec<SocketAddr> = entries.iter().map(|e| e.address).collect();
    for entry in entries.drain(..) {
        entry.membership.kill();
    }
    clock.sleep(LOOK).await;
    for (i, address) in addresses.into_iter().enumerate() {
        entries.push(start_entry(clock, stage, i as u32 + 1, address).await?);
    }
    Ok(())
}

/// Returns the bytes that an entry has sent and received.
fn all_bytes(entry: &MeasuredEntry) -> u64 {
    let bytes = |direction: &str| {
        let counters = &entry.metrics.membership_bytes;
        counters.with_label_values(&[direction]).get()
    };
    bytes("sent") + bytes("received")
}

/// Returns the bytes that an entry has counted on the link.
pub(super) fn link_bytes(entry: &MeasuredEntry) -> u64 {
    let purpose = LinkPurpose::Membership.to_string();
    let counter = entry.metrics.link_bytes.with_label_values(&[&purpose]);
    counter.get()
}
