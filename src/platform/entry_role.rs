//! An entry on the platform.

use {
    super::{BootSettings, Callers, LogStore, SettingsError, Status, follow_config},
    crate::{
        connection::{HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer},
        prelude::*,
        process::{
            job_service::JobService,
            ledger::{KeyedStore, LeaderElection, Ledger, Member, MemberRole, register},
            metrics::FleetMetrics,
            relay::{RelayServer, RelayedStore},
            scheduler::{SchedulerContext, run_scheduler},
            shutdown::Shutdown,
            task_group::TaskGroup,
        },
    },
    std::{cell::Cell, io, time::Instant},
};

/// How long a stopping entry still takes connections: two of the balancer's looks and some slack.
const READINESS_LEAD: Duration = Duration::from_millis(2500);

/// How much of the grace period is left unused.
const GRACE_MARGIN: Duration = Duration::from_millis(1000);

/// How long an entry whose store is far lets the others claim the lead first.
const FAR_DELAY: Duration = Duration::from_millis(400);

/// From which time of a first call on the store counts as far.
const FAR_STORE: Duration = Duration::from_millis(15);

/// A started entry.
pub(super) struct PlatformEntry {
    desk: Rc<JobService>,
    lead: Rc<LeaderElection>,
    clock: Rc<dyn Clock>,
    grace: Duration,
    shutdown: Rc<Shutdown>,
    server: compio::runtime::JoinHandle<()>,
    _tasks: TaskGroup,
}

/// Answers the balancer.
struct Readiness(Rc<JobService>);

impl HttpHandler for Readiness {
    fn handle(
        self: Rc<Self>,
        _req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        let status = if self.0.is_ready() { 200 } else { 503 };
        Box::pin(async move { HttpResponse::text(status, "") })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        0
    }
}

impl PlatformEntry {
    /// Binds the entry's sockets and starts its tasks.
    pub(super) async fn start(
        settings: &BootSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, io::Error> {
        let callers = required(settings.callers, "ListenAddrs.Frontend")?;
        let readiness = required(settings.readiness, "ListenAddrs.Ready")?;
        let client = HttpClient::new(clock.clone());
        let metrics = Rc::new(FleetMetrics::default());
        let direct: Rc<dyn KeyedStore> = Rc::new(LogStore::new(client, settings.store));
        let relay = RelayServer::bind(settings.peers, direct.clone(), clock.clone()).await?;
        let relayed = Rc::new(RelayedStore::new(direct, clock.clone(), metrics.clone()));
        let store: Rc<dyn KeyedStore> = relayed.clone();
        let ledger = Rc::new(Ledger::new(store.clone(), clock.clone()));
        let table = Rc::new(RefCell::new(None));
        let desk = Rc::new(JobService {
            clock: clock.clone(),
            ledger: ledger.clone(),
            table: table.clone(),
            is_stopping: Cell::new(false),
            metrics: metrics.clone(),
        });
        let server = HttpServer::bind(callers, Rc::new(Callers::new(desk.clone()))).await?;
        let ready_server = HttpServer::bind(readiness, Rc::new(Readiness(desk.clone()))).await?;
        let shutdown = Rc::new(Shutdown::default());
        let stop = shutdown.clone();
        let server = compio::runtime::spawn(server.run(async move { stop.wait().await }));
        let tasks = TaskGroup::default();
        tasks.spawn(ready_server.run(std::future::pending()));
        tasks.spawn(relay.run());
        let status = Status::new(metrics.clone(), Some(desk.clone()));
        let status = HttpServer::bind(settings.metrics, Rc::new(status)).await?;
        tasks.spawn(status.run(std::future::pending()));
        tasks.spawn(know_peers(
            relayed,
            ledger.clone(),
            settings.instance.clone(),
        ));
        tasks.spawn(follow_config(store, clock.clone(), table.clone()));
        let following = ledger.clone();
        let began = Instant::now();
        tasks.spawn(async move { following.follow().await });
        let boot = rand::random();
        let lead = wait_for_lead(&ledger, &clock, settings, boot, began).await;
        let member = Member {
            name: settings.instance.clone(),
            role: MemberRole::Entry,
            address: settings.peers,
            boot,
        };
        tasks.spawn(register(ledger, clock.clone(), member));
        let parts = SchedulerContext {
            election: lead.clone(),
            clock: clock.clone(),
            queue_table: table,
            leases: settings.leases,
            remote_factor: settings.far_factor,
            retention: settings.retention,
            metrics,
        };
        tasks.spawn(run_scheduler(parts));
        Ok(Self {
            desk,
            lead,
            clock,
            grace: settings.grace,
            shutdown,
            server,
            _tasks: tasks,
        })
    }

    /// Gives the lead up, stops being ready, lets the requests in progress finish, and stops.
    pub(super) async fn stop(self) {
        self.desk.is_stopping.set(true);
        self.lead.is_stopping.set(true);
        self.clock.sleep(READINESS_LEAD).await;
        self.shutdown.start();
        let time = self.grace.saturating_sub(READINESS_LEAD + GRACE_MARGIN);
        if crate::process::clock::with_timeout(&*self.clock, time, self.server)
            .await
            .is_none()
        {
            tracing::warn!("requests were still in progress at the end of the grace period");
        }
    }
}

fn required(
    address: Option<SocketAddr>,
    key: &'static str,
) -> Result<SocketAddr, io::Error> {
    let address: Result<SocketAddr, SettingsError> = BootSettings::required(address, key);
    address.map_err(io::Error::other)
}

/// Tells the store's client which other entries there are.
async fn know_peers(
    store: Rc<RelayedStore>,
    ledger: Rc<Ledger>,
    own: Arc<str>,
) {
    loop {
        let changed = ledger.listen();
        let peers = ledger.view(|fold| {
            let entries = fold
                .members
                .values()
                .filter(|m| m.role == MemberRole::Entry);
            let others = entries.filter(|m| m.name != own).map(|m| m.address);
            others.collect()
        });
        store.set_peers(peers);
        changed.await;
    }
}

/// Decides by the time of the first read how soon this entry claims a vacant lead.
async fn wait_for_lead(
    ledger: &Rc<Ledger>,
    clock: &Rc<dyn Clock>,
    settings: &BootSettings,
    boot: u64,
    began: Instant,
) -> Rc<LeaderElection> {
    let entry = EntryName::from(&*settings.instance);
    ledger.wait_until_read().await;
    let took = began.elapsed();
    let delay = if took < FAR_STORE {
        Duration::ZERO
    } else {
        FAR_DELAY
    };
    Rc::new(LeaderElection::new(
        ledger.clone(),
        clock.clone(),
        entry,
        boot,
        delay,
    ))
}
