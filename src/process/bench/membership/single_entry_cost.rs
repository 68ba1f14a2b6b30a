//! Measures a single entry that watches all upstreams.

use {
    super::{
        Cost,
        counting_link::{CountingLink, TrafficCounter},
        sample::Sample,
        upstream_generator::announce_upstreams,
    },
    crate::{
        prelude::*,
        process::{
            bench::{BenchError, capacity::measure_in_thread},
            clock::SystemClock,
            membership::{
                EntryRow, EntryTable, MemberTable, Membership, MembershipContext,
                PublicationVersion, ServingState, UdpLink, new_incarnation,
            },
            metrics::{Metrics, ProcessUsage},
        },
    },
    compio::runtime::Runtime,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
    },
};

/// The time that the entry is given to discover all upstreams before it is measured.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// The cost of a single entry that watches a number of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct SingleEntryCost {
    /// The number of upstreams that were announced.
    pub upstreams: u32,
    /// The number of upstreams that the entry knew at the end.
    pub known_upstreams: usize,
    /// The processor time and traffic of the entry.
    pub cost: Cost,
    /// The growth of the process's resident memory from before the entry and the generator started
    /// until the end, in megabytes.
    pub resident_mb: f64,
}

/// Measures for `duration` an entry that watches `upstreams` upstreams.
///
/// The generator of the upstreams runs in another thread, so that its processor time is not counted.
/// Its memory is part of the measured resident memory.
///
/// # Errors
/// [`BenchError`] when a socket cannot be bound or the generator panics.
pub fn measure_single_entry(
    upstreams: u32,
    duration: Duration,
) -> Result<SingleEntryCost, BenchError> {
    measure_in_thread(async move || measure(upstreams, duration).await)
}

async fn measure(
    upstreams: u32,
    duration: Duration,
) -> Result<SingleEntryCost, BenchError> {
    let before = ProcessUsage::current().resident_bytes;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    let traffic = Rc::new(TrafficCounter::default());
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = UdpLink::bind(loopback, clock.clone()).await?;
    let link = CountingLink::new(link, traffic.clone());
    let place = ("region", "data-centre");
    let entry = MeasuredEntry::start(clock.clone(), Rc::new(link), "entry", place, Vec::new());
    let stop = Arc::new(AtomicBool::new(false));
    let generator = spawn_generator(entry.address, upstreams, stop.clone());
    clock.sleep(DISCOVERY_TIME).await;
    let first = Sample::take(&*clock, &traffic);
    clock.sleep(duration).await;
    let last = Sample::take(&*clock, &traffic);
    let known = entry.members.borrow().live(clock.now()).len();
    let resident = ProcessUsage::current().resident_bytes;
    stop.store(true, Ordering::Relaxed);
    entry.membership.kill();
    let joined = generator.join();
    joined.map_err(|_| BenchError::Failed("the generator panicked".into()))??;
    Ok(SingleEntryCost {
        upstreams,
        known_upstreams: known,
        cost: first.cost_until(&last),
        resident_mb: resident.saturating_sub(before) as f64 / 1e6,
    })
}

fn spawn_generator(
    entry: SocketAddr,
    upstreams: u32,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<std::io::Result<()>> {
    thread::spawn(move || {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let announcing = announce_upstreams(clock, entry, upstreams, &stop);
        Runtime::new()?.block_on(announcing)
    })
}

/// The membership of one entry, without the rest of an entry.
pub(super) struct MeasuredEntry {
    pub(super) address: SocketAddr,
    pub(super) members: Rc<RefCell<MemberTable>>,
    pub(super) membership: Rc<Membership>,
    pub(super) metrics: Rc<Metrics>,
}

impl MeasuredEntry {
    /// Starts the membership of an entry on a socket; `place` is its region and data centre.
    pub(super) fn start(
        clock: Rc<dyn Clock>,
        link: Rc<dyn crate::process::membership::DatagramLink>,
        name: &str,
        place: (&str, &str),
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let address = link.address();
        let own = EntryRow {
            name: name.into(),
            region: place.0.into(),
            data_centre: place.1.into(),
            address,
            incarnation: new_incarnation(&*clock),
            heartbeat: 0,
            serving: ServingState::Serving,
            published: PublicationVersion::default(),
        };
        let members: Rc<RefCell<MemberTable>> = Rc::default();
        let metrics = Rc::new(Metrics::default());
        let membership = Membership::start(MembershipContext {
            clock,
            link,
            metrics: metrics.clone(),
            entries: Rc::new(RefCell::new(EntryTable::new(own, seeds))),
            members: members.clone(),
            seed: rand::random(),
        });
        Self {
            address,
            members,
            membership,
            metrics,
        }
    }
}
