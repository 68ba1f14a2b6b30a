//! Starts and stops the processes of a local system.

use {
    super::LocalError,
    crate::process::output::print_text,
    crate::{
        connection::{HttpHandler, HttpServer},
        prelude::*,
        process::{
            entry::{Entry, RunningEntry},
            guard::RunningGuard,
            settings::{
                Bootstrap, EntrySettings, GuardSettings, LocalDataCentre, LocalSettings,
                PeerSettings,
            },
            shutdown::Shutdown,
            stand_in::{StandInLog, StandInUpstream},
            state::{DocumentRecord, RecordBody},
        },
    },
    compio::runtime::spawn,
    std::io,
};

/// The address that every socket binds: any free port of the loopback interface.
const ANY_LOOPBACK_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// The time limit for the system to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval between two readiness checks.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time limit for the graceful shutdown of an entry or guard.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The log retention that the entries assume; it equals the default of the stand-in log.
const LOG_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A complete system in one process: a stand-in log, stand-in upstreams, guards and entries.
pub struct LocalSystem {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) entries: Vec<RunningEntry>,
    pub(super) guards: Vec<RunningGuard>,
    pub(super) upstreams: Vec<Rc<StandInUpstream>>,
    stand_in_shutdown: Rc<Shutdown>,
    pub(super) peers: PeerSettings,
    log: Rc<StandInLog>,
    log_address: SocketAddr,
    bootstrap: Option<Bootstrap>,
    pub(super) guard_settings: Vec<GuardSettings>,
}

impl LocalSystem {
    /// Starts all processes, submits the document and waits until every entry serves and sees the
    /// document in force on every upstream.
    ///
    /// # Errors
    /// Returns [`LocalError`] if a socket cannot be bound, the document cannot be recorded or the
    /// system does not become ready in time.
    pub async fn start(
        settings: &LocalSettings,
        document: &str,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, LocalError> {
        let system = Self::start_processes(settings, None, clock).await?;
        system.submit_document(document).await?;
        system.wait_until_ready().await?;
        Ok(system)
    }

    /// Starts all processes without a document; the operator in `bootstrap` may submit the first
    /// one.
    ///
    /// # Errors
    /// Returns [`LocalError`] if a socket cannot be bound.
    pub async fn start_without_document(
        settings: &LocalSettings,
        bootstrap: Bootstrap,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, LocalError> {
        Self::start_processes(settings, Some(bootstrap), clock).await
    }

    async fn start_processes(
        settings: &LocalSettings,
        bootstrap: Option<Bootstrap>,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, LocalError> {
        let mut system = Self {
            entries: Vec::new(),
            guards: Vec::new(),
            upstreams: Vec::new(),
            stand_in_shutdown: Rc::default(),
            peers: PeerSettings {
                addresses: Rc::default(),
                key: format!("{:032x}", rand::random::<u128>()).into(),
            },
            log: Rc::new(StandInLog::new(clock.clone())),
            log_address: ANY_LOOPBACK_PORT,
            guard_settings: Vec::new(),
            bootstrap,
            clock,
        };
        system.log_address = system.serve_stand_in(system.log.clone()).await?;
        for data_centre in &settings.data_centres {
            system.start_entries(data_centre).await?;
        }
        for data_centre in &settings.data_centres {
            system.start_workers(data_centre, settings).await?;
        }
        Ok(system)
    }

    /// Returns the clock that all processes of the system share.
    pub fn clock(&self) -> &Rc<dyn Clock> {
        &self.clock
    }

    /// Returns the stand-in log.
    pub fn log(&self) -> &Rc<StandInLog> {
        &self.log
    }

    /// Returns the entries.
    pub fn entries(&self) -> &[RunningEntry] {
        &self.entries
    }

    /// Returns the guards.
    pub fn guards(&self) -> &[RunningGuard] {
        &self.guards
    }

    /// Returns the stand-in upstreams, in the order of the guards.
    pub fn upstreams(&self) -> &[Rc<StandInUpstream>] {
        &self.upstreams
    }

    /// Returns the addresses of the stand-in upstreams, in the order of the guards.
    pub fn worker_addresses(&self) -> Vec<SocketAddr> {
        self.guard_settings.iter().map(|s| s.worker).collect()
    }

    /// Prints the HTTP address of each entry.
    ///
    /// # Errors
    /// Returns the error of the write.
    pub fn print_addresses(&self) -> io::Result<()> {
        for running in &self.entries {
            let settings = &running.entry().settings;
            print_text(&format!(
                "{} ({}, {}) accepts requests at http://{}\n",
                settings.name,
                settings.data_centre,
                settings.region,
                running.http_address(),
            ))?;
        }
        Ok(())
    }

    /// Stops the entries, the guards and the stand-ins, in this order. Entries and guards are
    /// stopped gracefully, so that requests can finish.
    pub async fn stop(self) {
        let entries = self.entries.into_iter().map(RunningEntry::stop);
        futures_util::future::join_all(entries).await;
        let guards = self.guards.into_iter().map(RunningGuard::stop);
        futures_util::future::join_all(guards).await;
        self.stand_in_shutdown.trigger();
    }

    /// Starts the HTTP server of a stand-in and returns its address.
    async fn serve_stand_in(
        &self,
        handler: Rc<dyn HttpHandler>,
    ) -> Result<SocketAddr, LocalError> {
        let server = HttpServer::bind(ANY_LOOPBACK_PORT, handler).await?;
        let address = server.local_addr()?;
        let shutdown = self.stand_in_shutdown.clone();
        spawn(server.run(async move { shutdown.wait().await })).detach();
        Ok(address)
    }

    async fn start_entries(
        &mut self,
        data_centre: &LocalDataCentre,
    ) -> Result<(), LocalError> {
        for i in 1..=data_centre.entries {
            let settings = EntrySettings {
                name: format!("entry-{}-{i}", data_centre.name).as_str().into(),
                region: data_centre.region.clone(),
                data_centre: data_centre.name.clone(),
                http: ANY_LOOPBACK_PORT,
                announcements: ANY_LOOPBACK_PORT,
                seeds: self.seeds(),
                log: self.log_address,
                drain_timeout: DRAIN_TIMEOUT,
                bootstrap: self.bootstrap.clone(),
                peers: Some(self.peers.clone()),
                log_retention: LOG_RETENTION,
                limits: crate::process::limits::ProcessLimits::default(),
            };
            self.start_entry(settings).await?;
        }
        Ok(())
    }

    pub(super) async fn start_entry(
        &mut self,
        settings: EntrySettings,
    ) -> Result<(), LocalError> {
        let entry = RunningEntry::start(settings, self.clock.clone()).await?;
        let address = entry.http_address();
        self.peers.addresses.borrow_mut().push(address);
        self.entries.push(entry);
        Ok(())
    }

    async fn start_workers(
        &mut self,
        data_centre: &LocalDataCentre,
        settings: &LocalSettings,
    ) -> Result<(), LocalError> {
        let workers = &settings.workers;
        for i in 0..data_centre.workers {
            let upstream = StandInUpstream::new(self.clock.clone(), workers.accelerators);
            let upstream = Rc::new(upstream);
            let worker = self.serve_stand_in(upstream.clone()).await?;
            self.upstreams.push(upstream);
            let rack = i / workers.per_rack + 1;
            let settings = GuardSettings {
                name: format!("{}-w{}", data_centre.name, i + 1).as_str().into(),
                region: data_centre.region.clone(),
                data_centre: data_centre.name.clone(),
                rack: format!("rack-{rack}").as_str().into(),
                listen: ANY_LOOPBACK_PORT,
                worker,
                entries: self.seeds(),
                slots: workers.slots,
                connections: workers.connections,
                accelerators: workers.accelerators,
                plain_tasks: workers.plain_tasks,
                http: Some(ANY_LOOPBACK_PORT),
                drain_timeout: DRAIN_TIMEOUT,
                limits: crate::process::limits::ProcessLimits::default(),
            };
            self.guard_settings.push(settings.clone());
            let guard = RunningGuard::start(settings, self.clock.clone()).await?;
            self.guards.push(guard);
        }
        Ok(())
    }

    /// Returns the addresses at which the entries receive announcements.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter();
        entries.map(RunningEntry::announcement_address).collect()
    }

    async fn submit_document(
        &self,
        text: &str,
    ) -> Result<(), LocalError> {
        let Some(first) = self.entries.first() else {
            return Err(LocalError::StepFailed("the settings contain no entry"));
        };
        let record = RecordBody::Document(DocumentRecord {
            follows: VersionNumber::default(),
            text: Arc::from(text),
            operator: "local".into(),
            submitted_ms: self.clock.wall_time().0,
        });
        let appended = first.entry().state.append(record).await;
        appended.map_err(|_| LocalError::StepFailed("the document was not recorded in the log"))
    }

    async fn wait_until_ready(&self) -> Result<(), LocalError> {
        let deadline = self.clock.now() + Millis::from(READY_TIMEOUT);
        while !self.entries.iter().all(|e| self.is_ready(e.entry())) {
            if self.clock.now() > deadline {
                return Err(LocalError::StepFailed(
                    "the system did not become ready in time",
                ));
            }
            self.clock.sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether an entry serves and the document version that it has is in force on all
    /// upstreams.
    fn is_ready(
        &self,
        entry: &Entry,
    ) -> bool {
        let version = entry.state.fold().version();
        let live = entry.members.borrow().live(self.clock.now());
        let current = live.iter().filter(|u| u.version == version).count();
        entry.is_ready() && current == self.guards.len()
    }
}
