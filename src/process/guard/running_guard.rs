//! A guard with its sockets and tasks.

use {
    super::Guard,
    crate::{
        connection::{HttpClient, PeerServer},
        prelude::*,
        process::{
            clock::with_timeout, membership::run_announcer, metrics::Metrics, platform::HttpWorker,
            settings::GuardSettings,
        },
    },
    compio::runtime::spawn,
    std::io,
};

/// How often a stopping guard looks whether its requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A started guard.
pub struct RunningGuard {
    guard: Rc<Guard>,
    address: SocketAddr,
    clock: Rc<dyn Clock>,
    drain_timeout: Duration,
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
        let drain_timeout = settings.drain_timeout;
        let entries = settings.entries.clone();
        let incarnation = rand::random();
        let guard = Rc::new(Guard::new(
            settings,
            clock.clone(),
            metrics.clone(),
            worker,
            incarnation,
        ));
        let server = PeerServer::bind(listen, guard.clone(), metrics).await?;
        let address = server.local_addr()?;
        spawn(server.run()).detach();
        spawn(guard.clone().run_expiry()).detach();
        let described = guard.clone();
        let announcing = run_announcer(clock.clone(), entries, guard.changed(), move || {
            described.describe(address)
        });
        spawn(async move {
            if let Err(e) = announcing.await {
                tracing::error!(error = %e, "announcing has ended");
            }
        })
        .detach();
        Ok(Self {
            guard,
            address,
            clock,
            drain_timeout,
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

    /// Takes no new work and waits until the requests in progress have ended.
    pub async fn stop(self) {
        self.guard.set_draining(true);
        let idle = async {
            while !self.guard.is_idle() {
                self.clock.sleep(DRAIN_POLL).await;
            }
        };
        if with_timeout(&*self.clock, self.drain_timeout, idle)
            .await
            .is_none()
        {
            tracing::warn!("requests were still in progress when the drain timeout passed");
        }
    }
}
