//! Guards with stand-in workers on the loopback interface, whose lease traffic is counted.

use {
    crate::{
        connection::{
            GangRequest, GuardReply, GuardRequest, HttpClient, HttpServer, PeerHandler, PeerServer,
        },
        prelude::*,
        process::{
            guard::Guard, metrics::Metrics, platform::HttpWorker, settings::GuardSettings,
            stand_in::StandInUpstream,
        },
    },
    compio::runtime::spawn,
    std::{cell::Cell, future::pending, io, net::Ipv4Addr},
};

/// The number of accelerators of each worker.
pub(super) const ACCELERATORS_PER_WORKER: u32 = 4;

/// The size of a frame without its message, which is that of its header and number, in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 6;

/// The loopback address with port 0, at which the system chooses a free port.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The heartbeat calls about gang leases that one guard answered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LeaseTraffic {
    /// The number of calls.
    pub(super) calls: u64,
    /// The total size of the frames of the calls and of their replies, in bytes.
    pub(super) bytes: u64,
}

/// A guard with a stand-in worker. It counts the lease traffic that reaches it over its socket.
pub(super) struct BenchGuard {
    pub(super) guard: Rc<Guard>,
    pub(super) address: SocketAddr,
    handler: Rc<CountingHandler>,
}

/// Passes calls on to a guard and counts those about gang leases.
struct CountingHandler {
    guard: Rc<Guard>,
    traffic: Cell<LeaseTraffic>,
}

impl BenchGuard {
    /// Starts a guard with a stand-in worker.
    ///
    /// # Errors
    /// [`io::Error`] if a socket cannot be bound.
    pub(super) async fn start(
        number: u32,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let upstream = Rc::new(StandInUpstream::new(clock.clone(), ACCELERATORS_PER_WORKER));
        let server = HttpServer::bind(ANY_LOOPBACK_PORT, upstream).await?;
        let worker = server.local_addr()?;
        spawn(server.run(pending())).detach();
        let settings = settings(number, worker);
        let metrics = Rc::new(Metrics::default());
        let client = Rc::new(HttpWorker::new(HttpClient::new(clock.clone()), worker));
        let guard = Guard::new(settings, clock, metrics.clone(), client, 1);
        let guard = Rc::new(guard);
        let handler = Rc::new(CountingHandler {
            guard: guard.clone(),
            traffic: Cell::default(),
        });
        let server = PeerServer::bind(ANY_LOOPBACK_PORT, handler.clone(), metrics).await?;
        let address = server.local_addr()?;
        spawn(server.run()).detach();
        spawn(guard.clone().run_expiry()).detach();
        Ok(Self {
            guard,
            address,
            handler,
        })
    }

    /// Returns the lease traffic over the socket since the start.
    pub(super) fn lease_traffic(&self) -> LeaseTraffic {
        self.handler.traffic.get()
    }
}

fn settings(
    number: u32,
    worker: SocketAddr,
) -> GuardSettings {
    let text = format!(
        "[guard]\nname = w{number}\nregion = r\ndata_centre = d\nrack = k\n\
         listen = {ANY_LOOPBACK_PORT}\nworker = {worker}\nentries = 127.0.0.1:1\nslots = 8\n\
         connections = 64\naccelerators = {ACCELERATORS_PER_WORKER}\ndrain_timeout = 1s\n"
    );
    GuardSettings::parse("guard.ini", &text).expect("the settings are valid")
}

impl PeerHandler for CountingHandler {
    fn handle(
        self: Rc<Self>,
        req: GuardRequest,
    ) -> LocalBoxFuture<'static, GuardReply> {
        let is_heartbeat = matches!(req, GuardRequest::Gang(GangRequest::Heartbeat(_)));
        let call_bytes = postcard::to_stdvec(&req).map_or(0, |b| b.len() as u64);
        let handling = self.guard.clone().handle(req);
        Box::pin(async move {
            let reply = handling.await;
            if is_heartbeat {
                let reply_bytes = postcard::to_stdvec(&reply).map_or(0, |b| b.len() as u64);
                let mut traffic = self.traffic.get();
                traffic.calls += 1;
                traffic.bytes += call_bytes + reply_bytes + 2 * FRAME_OVERHEAD_BYTES;
                self.traffic.set(traffic);
            }
            reply
        })
    }
}
