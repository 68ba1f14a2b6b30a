//! The process of a guard on the platform.

use {
    super::{BootSettings, DiscoveryApi, HttpRunWorker, LogStore, StatusApi},
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            ledger::{Ledger, Member, MemberRole},
            limits::ProcessLimiter,
            metrics::PlatformMetrics,
            runs::{RunGuard, keep_registered},
            task_group::TaskGroup,
        },
    },
    compio::net::TcpListener,
    std::io,
};

/// A running guard.
pub(super) struct PlatformGuard {
    _tasks: TaskGroup,
    _sessions: TaskGroup,
}

impl PlatformGuard {
    /// Binds the guard's sockets and starts its tasks.
    pub(super) async fn start(
        settings: &BootSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, io::Error> {
        let discovery =
            BootSettings::required_address(settings.discovery, "ListenAddrs.ControlPlane");
        let discovery = discovery.map_err(io::Error::other)?;
        let client = HttpClient::new(clock.clone());
        let worker = Rc::new(HttpRunWorker::new(client.clone()));
        let guard = Rc::new(RunGuard::new(
            worker,
            clock.clone(),
            settings.heartbeat,
            settings.leases.worker,
        ));
        guard
            .tracker
            .borrow_mut()
            .data_centre
            .clone_from(&settings.data_centre);
        let metrics = Rc::new(PlatformMetrics::default());
        let limiter = ProcessLimiter::new(&settings.limits, &clock, &metrics.limits);
        let discovery_api = Rc::new(DiscoveryApi::new(guard.clone()));
        let server = HttpServer::bind_limited(discovery, discovery_api, limiter.callers).await?;
        let sessions = guard.start_limited(TcpListener::bind(settings.peers).await?, limiter.peers);
        let tasks = TaskGroup::default();
        tasks.spawn(server.run(std::future::pending()));
        let status = StatusApi::new(metrics, None);
        let status =
            HttpServer::bind_limited(settings.metrics, Rc::new(status), limiter.operators).await?;
        tasks.spawn(status.run(std::future::pending()));
        // A guard does not read the ledger; it only registers its address there.
        let store = Rc::new(LogStore::new(client, settings.store));
        let ledger = Ledger::new(store, clock.clone()).with_limits(settings.record_limits);
        let ledger = Rc::new(ledger);
        let member = Member {
            name: settings.instance.clone(),
            role: MemberRole::Guard,
            address: settings.peers,
            registration: rand::random(),
            job_bytes: None,
        };
        tasks.spawn(keep_registered(guard, ledger, clock, member));
        Ok(Self {
            _tasks: tasks,
            _sessions: sessions,
        })
    }
}
