//! An entry with its sockets and tasks.

use {
    super::{
        Entry, EntryParts, LinkDialer, follow_registry, keep_placements, propose_layouts,
        push_documents, push_drains, push_layouts, register, release_orphans, run_claim_ends,
        run_jobs, take_over_jobs,
    },
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            admission::run_dispatch,
            clock::with_timeout,
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

/// How long an entry still takes connections after it has stopped being ready, so that the
/// balancer notices.
const READINESS_LEAD: Duration = Duration::from_millis(500);

/// A started entry. Dropping it ends its tasks at once.
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
    /// The error of binding.
    pub async fn start(
        settings: EntrySettings,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let link = UdpLink::bind(settings.announcements, clock.clone()).await?;
        let announcement_address = link.address();
        let entry = Rc::new(build_entry(settings, clock, announcement_address));
        let http = entry.settings.http;
        let server = HttpServer::bind(http, Rc::new(EntryApi::new(entry.clone()))).await?;
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

    /// Returns where it takes HTTP connections.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns where it hears announcements.
    pub fn announcement_address(&self) -> SocketAddr {
        self.announcement_address
    }

    /// Stops being ready and watching, lets the requests in progress finish, tells the other
    /// entries, and stops.
    pub async fn stop(mut self) {
        self.entry.draining.set(true);
        self.membership.drain();
        self.entry.clock.sleep(READINESS_LEAD).await;
        self.shutdown.trigger();
        let timeout = self.entry.settings.drain_timeout;
        if let Some(server) = self.server.take() {
            let drained = with_timeout(&*self.entry.clock, timeout, server).await;
            if drained.is_none() {
                tracing::warn!("requests were still in progress when the drain timeout passed");
            }
        }
        self.membership.leave().await;
    }

    /// Ends all tasks at once, as the death of the process would.
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
    let parts = EntryParts {
        settings,
        address,
        dialer: Rc::new(LinkDialer::new(clock.clone(), metrics.clone())),
        clock,
        metrics,
        state,
        routing: Rc::new(LeastWaitRouting::new(rand::random())),
        ids,
        seed: rand::random(),
    };
    parts.build()
}

fn start_tasks(
    entry: &Rc<Entry>,
    membership: &Rc<Membership>,
) -> TaskGroup {
    let tasks = TaskGroup::default();
    let state = entry.state.clone();
    tasks.spawn(async move { state.follow_log().await });
    tasks.spawn(keep_snapshots(entry.clone()));
    tasks.spawn(run_jobs(entry.clone()));
    tasks.spawn(take_over_jobs(entry.clone()));
    tasks.spawn(push_drains(entry.clone()));
    tasks.spawn(propose_layouts(entry.clone()));
    tasks.spawn(push_layouts(entry.clone()));
    tasks.spawn(keep_placements(entry.clone()));
    let turns = entry.clone();
    tasks.spawn(async move { turns.turns.run(&turns).await });
    tasks.spawn(run_dispatch(entry.clone()));
    tasks.spawn(run_claim_ends(entry.clone()));
    tasks.spawn(push_documents(entry.clone(), membership.clone()));
    tasks.spawn(register(entry.clone()));
    tasks.spawn(follow_registry(entry.clone()));
    tasks.spawn(release_orphans(entry.clone()));
    tasks
}

async fn keep_snapshots(entry: Rc<Entry>) {
    let policy = SnapshotPolicy {
        retention: entry.settings.log_retention,
    };
    let live_entries = || entry.live_entries();
    entry.state.keep_snapshots(policy, live_entries).await;
}
