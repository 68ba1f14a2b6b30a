//! An entry with its sockets and tasks.

use {
    super::{Entry, InFlightLimits, LinkDialer, push_documents, release_orphans, run_jobs},
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            clock::with_timeout, membership::MemberListener, metrics::Metrics, platform::HttpLog,
            settings::EntrySettings, shutdown::Shutdown, state::State,
        },
        request::{EntryApi, IdSource, LeastWaitRouting, PackPlacement},
    },
    compio::runtime::{JoinHandle, spawn},
    std::{cell::Cell, io},
};

/// How long an entry still takes connections after it has stopped being ready, so that the
/// balancer notices.
const READINESS_LEAD: Duration = Duration::from_millis(500);

/// A started entry.
pub struct RunningEntry {
    entry: Rc<Entry>,
    http_address: SocketAddr,
    announcement_address: SocketAddr,
    shutdown: Rc<Shutdown>,
    server: JoinHandle<()>,
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
        let metrics = Rc::new(Metrics::default());
        let ids = IdSource::random();
        let client = HttpClient::new(clock.clone());
        let log = Rc::new(HttpLog::new(client, settings.log));
        let state = State::new(log, clock.clone(), settings.name.clone(), ids.epoch());
        let listener =
            MemberListener::bind(settings.announcements, clock.clone(), metrics.clone()).await?;
        let announcement_address = listener.local_addr()?;
        let http = settings.http;
        let entry = Rc::new(Entry {
            settings,
            dialer: Rc::new(LinkDialer::new(clock.clone(), metrics.clone())),
            clock,
            metrics,
            state: Rc::new(state),
            members: RefCell::default(),
            routing: Box::new(LeastWaitRouting),
            placement: Box::new(PackPlacement),
            ids,
            in_flight: InFlightLimits::default(),
            draining: Cell::new(false),
        });
        let server = HttpServer::bind(http, Rc::new(EntryApi::new(entry.clone()))).await?;
        let http_address = server.local_addr()?;
        let shutdown = Rc::new(Shutdown::default());
        let stop = shutdown.clone();
        let server = spawn(server.run(async move { stop.wait().await }));
        spawn_tasks(&entry, listener);
        Ok(Self {
            entry,
            http_address,
            announcement_address,
            shutdown,
            server,
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

    /// Stops being ready, lets the requests in progress finish, and stops.
    pub async fn stop(self) {
        self.entry.draining.set(true);
        self.entry.clock.sleep(READINESS_LEAD).await;
        self.shutdown.start();
        let timeout = self.entry.settings.drain_timeout;
        let drained = with_timeout(&*self.entry.clock, timeout, self.server).await;
        if drained.is_none() {
            tracing::warn!("requests were still in progress when the drain timeout passed");
        }
    }
}

fn spawn_tasks(
    entry: &Rc<Entry>,
    listener: MemberListener,
) {
    let state = entry.state.clone();
    spawn(async move { state.follow_log().await }).detach();
    let hearing = entry.clone();
    spawn(async move { listener.run(&hearing.members).await }).detach();
    spawn(run_jobs(entry.clone())).detach();
    spawn(push_documents(entry.clone())).detach();
    spawn(release_orphans(entry.clone())).detach();
}
