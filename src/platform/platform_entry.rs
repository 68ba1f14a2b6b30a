//! The process of an entry on the platform.

use {
    super::{BootSettings, CallerApi, LogStore, SettingsError, StatusApi, follow_config},
    crate::{
        connection::{HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer},
        prelude::*,
        process::{
            config_view::ConfigView,
            evacuations::Evacuations,
            job_service::{EarlyCancellations, JobService},
            ledger::{
                CandidateMachine, KeyedStore, LeaderElection, Ledger, Member, MemberRole,
                StoreHealth, receive_end_hints, register, send_end_hints,
            },
            limits::{ProcessLimiter, SubmissionBudget},
            membership::{DatagramLink, UdpLink},
            metrics::PlatformMetrics,
            relay::{RelayServer, RelayedStore},
            scheduler::{SchedulerContext, run_scheduler},
            shutdown::Shutdown,
            task_group::TaskGroup,
        },
    },
    std::{cell::Cell, io},
};

/// How long a stopping entry accepts connections after it reports that it is not ready: two
/// readiness checks of the load balancer and some slack.
const READINESS_DRAIN_DELAY: Duration = Duration::from_millis(2500);

/// The part at the end of the grace period that is left unused.
const GRACE_MARGIN: Duration = Duration::from_millis(1000);

/// The time from the decision to start a subtask to its start at the worker: the interval of
/// scheduling passes, the attempts of a guard and a call to the worker.
const MAX_START_DURATION: Duration = Duration::from_millis(1500);

/// A running entry.
pub(super) struct PlatformEntry {
    job_service: Rc<JobService>,
    election: Rc<LeaderElection>,
    clock: Rc<dyn Clock>,
    grace_period: Duration,
    shutdown: Rc<Shutdown>,
    server: compio::runtime::JoinHandle<()>,
    _tasks: TaskGroup,
}

/// The HTTP handler of the load balancer's readiness checks.
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
    /// Binds the entry's sockets, starts its tasks and waits until the ledger is first read.
    pub(super) async fn start(
        settings: &BootSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, io::Error> {
        let callers = required_address(settings.callers, "ListenAddrs.Frontend")?;
        let readiness = required_address(settings.readiness, "ListenAddrs.Ready")?;
        let client = HttpClient::new(clock.clone());
        let metrics = Rc::new(PlatformMetrics::default());
        let limiter = ProcessLimiter::new(&settings.limits, &clock, &metrics.limits);
        let direct: Rc<dyn KeyedStore> = Rc::new(LogStore::new(client, settings.store));
        let hints: Rc<dyn DatagramLink> =
            Rc::new(UdpLink::bind(settings.peers, clock.clone()).await?);
        let relay = RelayServer::bind(settings.peers, direct.clone(), clock.clone()).await?;
        let relay = relay.with_limiter(limiter.peers);
        let health = Rc::new(StoreHealth::default());
        let relayed = Rc::new(RelayedStore::new(
            direct,
            clock.clone(),
            metrics.clone(),
            health.clone(),
        ));
        let store: Rc<dyn KeyedStore> = relayed.clone();
        let ledger = Ledger::new(store.clone(), clock.clone()).with_limits(settings.record_limits);
        let ledger = Rc::new(ledger);
        let config = Rc::new(ConfigView::new(settings.config_apply_time));
        let evacuations: Rc<RefCell<Evacuations>> = Rc::default();
        let job_service = Rc::new(JobService {
            clock: clock.clone(),
            ledger: ledger.clone(),
            config: config.clone(),
            is_stopping: Cell::new(false),
            metrics: metrics.clone(),
            submissions: Rc::new(SubmissionBudget::new(settings.limits.submission_bytes)),
            max_job_bytes: settings.limits.job_bytes,
            early_cancellations: EarlyCancellations::new(settings.retention),
        });
        let caller_api = Rc::new(CallerApi::new(job_service.clone()));
        let server = HttpServer::bind_limited(callers, caller_api, limiter.callers).await?;
        let ready = Rc::new(Readiness(job_service.clone()));
        let ready_server =
            HttpServer::bind_limited(readiness, ready, limiter.operators.clone()).await?;
        let shutdown = Rc::new(Shutdown::default());
        let stop = shutdown.clone();
        let server = compio::runtime::spawn(server.run(async move { stop.wait().await }));
        let tasks = TaskGroup::default();
        tasks.spawn(ready_server.run(std::future::pending()));
        tasks.spawn(relay.run());
        let status = StatusApi::new(metrics.clone(), Some(job_service.clone()))
            .with_evacuations(evacuations.clone());
        let status =
            HttpServer::bind_limited(settings.metrics, Rc::new(status), limiter.operators).await?;
        tasks.spawn(status.run(std::future::pending()));
        tasks.spawn(track_peers(
            relayed,
            ledger.clone(),
            settings.instance.clone(),
        ));
        tasks.spawn(follow_config(
            store,
            clock.clone(),
            config.clone(),
            evacuations.clone(),
        ));
        tasks.spawn(send_end_hints(
            ledger.clone(),
            clock.clone(),
            hints.clone(),
            settings.instance.clone(),
        ));
        tasks.spawn(receive_end_hints(ledger.clone(), hints));
        tasks.spawn(job_service.clone().store_early_cancellations());
        let follower = ledger.clone();
        tasks.spawn(async move { follower.follow().await });
        ledger.wait_until_read().await;
        let boot = rand::random();
        let election = Rc::new(LeaderElection::new(
            ledger.clone(),
            clock.clone(),
            health,
            EntryName::from(&*settings.instance),
            boot,
            CandidateMachine {
                cpu_milli: settings.cpu_milli,
                link_kbps: settings.link_kbps,
            },
        ));
        let member = Member {
            name: settings.instance.clone(),
            role: MemberRole::Entry,
            address: settings.peers,
            registration: boot,
            job_bytes: Some(settings.limits.job_bytes as u64),
        };
        tasks.spawn(register(ledger, clock.clone(), member));
        let cx = SchedulerContext {
            election: election.clone(),
            clock: clock.clone(),
            config,
            evacuations,
            max_evacuation_age: settings
                .evacuation_bound
                .map(|bound| bound.saturating_sub(MAX_START_DURATION).into()),
            leases: settings.leases,
            remote_factor: settings.far_factor,
            reclaim_time: settings.reclaim_time,
            retention: settings.retention,
            metrics,
        };
        tasks.spawn(run_scheduler(cx));
        Ok(Self {
            job_service,
            election,
            clock,
            grace_period: settings.grace,
            shutdown,
            server,
            _tasks: tasks,
        })
    }

    /// Gives up the leadership and reports that the entry is not ready, then stops accepting
    /// connections and lets the requests in progress finish within the grace period.
    pub(super) async fn stop(self) {
        self.job_service.is_stopping.set(true);
        self.election.is_stopping.set(true);
        self.clock.sleep(READINESS_DRAIN_DELAY).await;
        self.shutdown.trigger();
        let time_left = self
            .grace_period
            .saturating_sub(READINESS_DRAIN_DELAY + GRACE_MARGIN);
        if crate::process::clock::with_timeout(&*self.clock, time_left, self.server)
            .await
            .is_none()
        {
            tracing::warn!("requests were still in progress at the end of the grace period");
        }
    }
}

fn required_address(
    address: Option<SocketAddr>,
    key: &'static str,
) -> Result<SocketAddr, io::Error> {
    let address: Result<SocketAddr, SettingsError> = BootSettings::required_address(address, key);
    address.map_err(io::Error::other)
}

/// Keeps the addresses of the other entries up to date in the store client, which relays calls
/// through them.
async fn track_peers(
    store: Rc<RelayedStore>,
    ledger: Rc<Ledger>,
    own_name: Arc<str>,
) {
    loop {
        let changed = ledger.listen();
        let peers = ledger.view(|fold| {
            let entries = fold
                .members
                .values()
                .filter(|m| m.role == MemberRole::Entry);
            let others = entries.filter(|m| m.name != own_name).map(|m| m.address);
            others.collect()
        });
        store.set_peers(peers);
        changed.await;
    }
}
