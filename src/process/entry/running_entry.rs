//! Starts and stops an entry with its sockets and tasks.

use {
    super::{
        Entry, EntryBuilder, LinkDialer, follow_registry, propose_layouts, push_documents,
        push_drains, push_layouts, register_entry, release_orphans, run_owned_jobs,
        sync_placements, take_over_jobs, write_claim_ends,
    },
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            admission::run_dispatch,
            clock::with_timeout,
            limits::ProcessLimiter,
            membership::{DatagramLink, Membership, MembershipContext, UdpLink},
            metrics::Metrics,
            platform::HttpLog,
            settings::EntrySettings,
            shutdown::Shutdown,
            state::{HttpPeers, SnapshotPolicy, State},
            task_group::TaskGroup,
        },
        request::{EntryApi, IdGenerator, LeastWaitRouting},
    },
    compio::runtime::{JoinHandle, spawn},
    std::io,
};

/// How long an entry still accepts connections after it has stopped reporting ready, so that the
/// load balancer notices.
const READINESS_DRAIN_DELAY: Duration = Duration::from_millis(500);

/// A running entry. Dropping it cancels its tasks at once.
pub struct RunningEntry {
    entry: Rc<Entry>,
    membership: Rc<Membership>,
    http_address: SocketAddr,
    announcement_address: SocketAddr,
    shutdown: Rc<Shutdown>,
    server: Option<JoinHandle<()>>,
    tasks: TaskGroup,
}

impl RunningEntry {
    /// Binds the entry's sockets and starts its tasks.
    ///
    /// # Errors
    /// Returns the error of binding a socket.
    pub async fn start(
        settings: EntrySettings,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let link = UdpLink::bind(settings.announcements, clock.clone()).await?;
        let announcement_address = link.address();
        let entry = Rc::new(build_entry(settings, clock, announcement_address));
        let http = entry.settings.http;
        let limits = &entry.settings.limits;
        let limiter = ProcessLimiter::new(limits, &entry.clock, &entry.metrics.limits);
        let api = Rc::new(EntryApi::new(entry.clone()));
        let server = HttpServer::bind_limited(http, api, limiter.callers).await?;
        let http_address = server.local_addr()?;
        let membership = Membership::start(MembershipContext {
            clock: entry.clock.clone(),
            link: Rc::new(link),
            metrics: entry.metrics.clone(),
            entries: entry.entries.clone(),
            members: entry.members.clone(),
            seed: rand::random(),
        });
        let shutdown = Rc::new(Shutdown::default());
        let stop = shutdown.clone();
        let server = spawn(server.run(async move { stop.wait().await }));
        Ok(Self {
            tasks: start_tasks(&entry, &membership),
            entry,
            membership,
            http_address,
            announcement_address,
            shutdown,
            server: Some(server),
        })
    }

    /// Returns the entry.
    pub fn entry(&self) -> &Rc<Entry> {
        &self.entry
    }

    /// Returns the address at which it accepts HTTP connections.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address at which it receives announcements.
    pub fn announcement_address(&self) -> SocketAddr {
        self.announcement_address
    }

    /// Shuts the entry down gracefully: stops reporting ready, waits for the requests in progress
    /// up to the drain timeout, hands its watched upstreams over and announces its departure.
    pub async fn stop(mut self) {
        self.entry.is_draining.set(true);
        self.membership.drain();
        self.entry.clock.sleep(READINESS_DRAIN_DELAY).await;
        self.shutdown.trigger();
        let timeout = self.entry.settings.drain_timeout;
        if let Some(server) = self.server.take() {
            let drained = with_timeout(&*self.entry.clock, timeout, server).await;
            if drained.is_none() {
                tracing::warn!("drain timeout expired with requests still in progress");
            }
        }
        self.membership.leave().await;
    }

    /// Cancels all tasks at once, as a crash of the process would.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.membership.kill();
        self.tasks.cancel();
    }
}

fn build_entry(
    settings: EntrySettings,
    clock: Rc<dyn Clock>,
    address: SocketAddr,
) -> Entry {
    let metrics = Rc::new(Metrics::default());
    let ids = IdGenerator::random();
    let client = HttpClient::new(clock.clone());
    let log = Rc::new(HttpLog::new(client.clone(), settings.log));
    let mut state = State::new(log, clock.clone(), settings.name.clone(), ids.epoch());
    if let Some(peers) = &settings.peers {
        state = state.with_peers(Rc::new(HttpPeers::new(client, peers.clone())));
    }
    let builder = EntryBuilder {
        settings,
        announcement_address: address,
        dialer: Rc::new(LinkDialer::new(clock.clone(), metrics.clone())),
        clock,
        metrics,
        state,
        routing: Rc::new(LeastWaitRouting::new(rand::random())),
        ids,
        jitter_seed: rand::random(),
    };
    builder.build()
}

fn start_tasks(
    entry: &Rc<Entry>,
    membership: &Rc<Membership>,
) -> TaskGroup {
    let tasks = TaskGroup::default();
    let state = entry.state.clone();
    tasks.spawn(async move { state.sync_with_log().await });
    tasks.spawn(write_snapshots(entry.clone()));
    tasks.spawn(run_owned_jobs(entry.clone()));
    tasks.spawn(take_over_jobs(entry.clone()));
    tasks.spawn(push_drains(entry.clone()));
    tasks.spawn(propose_layouts(entry.clone()));
    tasks.spawn(push_layouts(entry.clone()));
    tasks.spawn(sync_placements(entry.clone()));
    let queue_entry = entry.clone();
    tasks.spawn(async move { queue_entry.scheduler.run(&queue_entry).await });
    tasks.spawn(run_dispatch(entry.clone()));
    tasks.spawn(write_claim_ends(entry.clone()));
    tasks.spawn(push_documents(entry.clone(), membership.clone()));
    tasks.spawn(register_entry(entry.clone()));
    tasks.spawn(follow_registry(entry.clone()));
    tasks.spawn(release_orphans(entry.clone()));
    tasks
}

async fn write_snapshots(entry: Rc<Entry>) {
    let policy = SnapshotPolicy {
        retention: entry.settings.log_retention,
    };
    let live_entries = || entry.live_entry_names();
    entry.state.write_due_snapshots(policy, live_entries).await;
}
