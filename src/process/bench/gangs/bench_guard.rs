//! Guards with stand-in workers on loopback, whose calls are counted.

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

/// The accelerators of each worker.
pub(super) const ACCELERATORS: u32 = 4;

/// The bytes of a frame beyond its message: header and number.
const FRAME_BYTES: u64 = 6;

/// A free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// The calls that one guard answered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    /// Calls, each with its reply.
    pub(super) calls: u64,
    /// The bytes of the frames of calls and replies.
    pub(super) bytes: u64,
}

/// A guard that counts the calls which reach it over its socket.
pub(super) struct BenchGuard {
    pub(super) guard: Rc<Guard>,
    pub(super) address: SocketAddr,
    counted: Rc<CountingHandler>,
}

struct CountingHandler {
    guard: Rc<Guard>,
    traffic: Cell<Traffic>,
}

impl BenchGuard {
    /// Starts a guard with a stand-in worker.
    ///
    /// # Errors
    /// The error of binding.
    pub(super) async fn start(
        number: u32,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let upstream = Rc::new(StandInUpstream::new(clock.clone(), ACCELERATORS));
        let server = HttpServer::bind(ANY_PORT, upstream).await?;
        let worker = server.local_addr()?;
        spawn(server.run(pending())).detach();
        let settings = settings(number, worker);
        let metrics = Rc::new(Metrics::default());
        let client = Rc::new(HttpWorker::new(HttpClient::new(clock.clone()), worker));
        let guard = Guard::new(settings, clock, metrics.clone(), client, 1);
        let guard = Rc::new(guard);
        let counted = Rc::new(CountingHandler {
            guard: guard.clone(),
            traffic: Cell::default(),
        });
        let server = PeerServer::bind(ANY_PORT, counted.clone(), metrics).await?;
        let address = server.local_addr()?;
        spawn(server.run()).detach();
        spawn(guard.clone().run_expiry()).detach();
        Ok(Self {
            guard,
            address,
            counted,
        })
    }

    /// Returns the calls about leases that came over the socket so far.
    pub(super) fn traffic(&self) -> Traffic {
        self.counted.traffic.get()
    }
}

fn settings(
    number: u32,
    worker: SocketAddr,
) -> GuardSettings {
    let text = format!(
        "[guard]\nname = w{number}\nregion = r\ndata_centre = d\nrack = k\n\
         listen = {ANY_PORT}\nworker = {worker}\nentries = 127.0.0.1:1\nslots = 8\n\
         connections = 64\naccelerators = {ACCELERATORS}\ndrain_timeout = 1s\n"
    );
    GuardSettings::parse("guard.ini", &text).expect("the settings are valid")
}

impl PeerHandler for CountingHandler {
    fn handle(
        self: Rc<Self>,
        req: GuardRequest,
    ) -> LocalBoxFuture<'static, GuardReply> {
        let is_lease = matches!(req, GuardRequest::Gang(GangRequest::Heartbeat(_)));
        let asked = postcard::to_stdvec(&req).map_or(0, |b| b.len() as u64);
        let answering = self.guard.clone().handle(req);
        Box::pin(async move {
            let reply = answering.await;
            if is_lease {
                let told = postcard::to_stdvec(&reply).map_or(0, |b| b.len() as u64);
                let mut traffic = self.traffic.get();
                traffic.calls += 1;
                traffic.bytes += asked + told + 2 * FRAME_BYTES;
                self.traffic.set(traffic);
            }
            reply
        })
    }
}
