//! A guard with its sockets and tasks.

use {
    super::{Guard, GuardStatus},
    crate::{
        connection::{HttpClient, HttpServer, PeerServer},
        prelude::*,
        process::{
            clock::with_timeout,
            membership::{Announcer, AnnouncerContext, UdpLink, new_incarnation},
            metrics::Metrics,
            platform::HttpWorker,
            settings::GuardSettings,
            task_group::TaskGroup,
        },
    },
    std::{future::pending, io},
};

/// How often a stopping guard looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// How long a guard that is idle still answers calls, so that answers on their way are sent.
const ANSWER_LEAD: Duration = Duration::from_millis(100);

/// A started guard. Dropping it ends its tasks at once.
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
    /// The error of binding.
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
        let guard = Rc::new(Guard::new(
            settings,
            clock.clone(),
            metrics.clone(),
            worker,
            new_incarnation(&*clock),
        ));
        let server = PeerServer::bind(listen, guard.clone(), metrics.clone()).await?;
        let address = server.local_addr()?;
        let link = UdpLink::bind(SocketAddr::new(listen.ip(), 0), clock.clone()).await?;
        let tasks = TaskGroup::default();
        tasks.spawn(server.run());
        tasks.spawn(guard.clone().run_expiry());
        let mut http_address = None;
        if let Some(http) = http {
            let status = GuardStatus::new(guard.clone(), metrics);
            let server = HttpServer::bind(http, Rc::new(status)).await?;
            http_address = Some(server.local_addr()?);
            tasks.spawn(server.run(pending()));
        }
        let described = guard.clone();
        let announcer = Announcer::start(AnnouncerContext {
            clock: clock.clone(),
            link: Rc::new(link),
            seeds,
            changed: guard.changed(),
            next_announcement: Box::new(move || described.describe(address)),
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

    /// Returns where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where it tells operators of its health and metrics.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http_address
    }

    /// Takes no new work, waits until the requests in progress have ended, tells the entries that
    /// the upstream leaves, and stops.
    pub async fn stop(self) {
        self.guard.set_draining(true);
        let idle = async {
            while !self.guard.is_idle() {
                self.clock.sleep(DRAIN_POLL).await;
            }
        };
        let drained = with_timeout(&*self.clock, self.drain_timeout, idle).await;
        if drained.is_none() {
            tracing::warn!("requests were still in progress when the drain timeout passed");
        }
        self.announcer.leave().await;
        self.clock.sleep(ANSWER_LEAD).await;
    }

    /// Ends all tasks at once, as the death of the process would.
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
