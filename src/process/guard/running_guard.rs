//! Starts and stops a guard process: its sockets, tasks and announcements.

use {
    super::{Guard, GuardStatus},
    crate::{
        connection::{HttpClient, HttpServer, PeerServer},
        prelude::*,
        process::{
            clock::with_timeout,
            limits::ProcessLimiter,
            membership::{Announcer, AnnouncerContext, UdpLink, new_incarnation},
            metrics::Metrics,
            platform::HttpWorker,
            settings::GuardSettings,
            task_group::TaskGroup,
        },
    },
    std::{future::pending, io},
};

/// The interval at which a stopping guard checks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stopping guard keeps its connections after draining, so that pending replies are
/// sent.
const SHUTDOWN_LINGER: Duration = Duration::from_millis(100);

/// A running guard. Dropping it cancels its tasks at once.
pub struct RunningGuard {
    guard: Rc<Guard>,
    announcer: Rc<Announcer>,
    address: SocketAddr,
    http_address: Option<SocketAddr>,
    clock: Rc<dyn Clock>,
    drain_timeout: Duration,
    tasks: TaskGroup,
}

impl RunningGuard {
    /// Binds the guard's sockets and starts its tasks.
    ///
    /// # Errors
    /// Returns the error of binding a socket.
    pub async fn start(
        settings: GuardSettings,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let metrics = Rc::new(Metrics::default());
        let client = HttpClient::new(clock.clone());
        let worker = Rc::new(HttpWorker::new(client, settings.worker));
        let listen = settings.listen;
        let http = settings.http;
        let drain_timeout = settings.drain_timeout;
        let seeds = settings.entries.clone();
        let limiter = ProcessLimiter::new(&settings.limits, &clock, &metrics.limits);
        let guard = Rc::new(Guard::new(
            settings,
            clock.clone(),
            metrics.clone(),
            worker,
            new_incarnation(&*clock),
        ));
        let server = PeerServer::bind(listen, guard.clone(), metrics.clone()).await?;
        let server = server.with_limiter(limiter.peers);
        let address = server.local_addr()?;
        let link = UdpLink::bind(SocketAddr::new(listen.ip(), 0), clock.clone()).await?;
        let tasks = TaskGroup::default();
        tasks.spawn(server.run());
        tasks.spawn(guard.clone().run_expiry());
        let mut http_address = None;
        if let Some(http) = http {
            let status = GuardStatus::new(guard.clone(), metrics);
            let server = HttpServer::bind_limited(http, Rc::new(status), limiter.operators).await?;
            http_address = Some(server.local_addr()?);
            tasks.spawn(server.run(pending()));
        }
        let announced_guard = guard.clone();
        let announcer = Announcer::start(AnnouncerContext {
            clock: clock.clone(),
            link: Rc::new(link),
            seeds,
            changed: guard.changed(),
            next_announcement: Box::new(move || announced_guard.next_announcement(address)),
            seed: rand::random(),
        });
        Ok(Self {
            guard,
            announcer,
            address,
            http_address,
            clock,
            drain_timeout,
            tasks,
        })
    }

    /// Returns the guard.
    pub fn guard(&self) -> &Rc<Guard> {
        &self.guard
    }

    /// Returns the address on which the guard accepts calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the HTTP address of health checks and metrics, when there is one.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http_address
    }

    /// Refuses new requests and reservations, waits up to the drain timeout for the requests in
    /// progress, announces that the upstream leaves, and stops. Does not wait for gangs.
    pub async fn stop(self) {
        self.guard.set_draining(true);
        let idle = async {
            while !self.guard.is_idle() {
                self.clock.sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let drained = with_timeout(&*self.clock, self.drain_timeout, idle).await;
        if drained.is_none() {
            tracing::warn!("drain timeout expired with requests still in progress");
        }
        self.announcer.leave().await;
        self.clock.sleep(SHUTDOWN_LINGER).await;
    }

    /// Cancels all tasks at once, as if the process had died.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.announcer.kill();
        self.tasks.cancel();
        self.guard.gangs().kill();
    }
}
