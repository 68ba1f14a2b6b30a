//! The network between entries and guards, which loses, doubles, delays and crosses frames.

use {
    super::fakes::FakeWorker,
    compio::runtime::{JoinHandle, spawn},
    futures_channel::oneshot,
    limpetquay::{
        connection::{GuardPeer, GuardReply, GuardRequest, LinkError, PeerHandler},
        prelude::*,
        process::{entry::Dialer, guard::Guard, metrics::Metrics, settings::GuardSettings},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, VecDeque},
    },
};

/// What happens to one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The connection is refused.
    NotSent,
    /// The frame is lost, and the connection with it.
    LoseRequest,
    /// The reply is lost, and the connection with it.
    LoseReply,
    /// The frame comes twice, the second time after some milliseconds.
    Double(u64),
    /// The frame comes late.
    Late(u64),
    /// The reply is that to another request.
    Cross,
}

const LATENCY: Duration = Duration::from_millis(1);

/// One upstream with its guard, which may die and come back.
pub struct Site {
    pub clock: Rc<dyn Clock>,
    pub address: SocketAddr,
    pub worker: Rc<FakeWorker>,
    pub guard: RefCell<Option<Rc<Guard>>>,
    pub faults: RefCell<VecDeque<Fault>>,
    pub slots: u32,
    starts: Cell<u64>,
    handling: RefCell<Vec<JoinHandle<()>>>,
}

impl Site {
    pub fn start(
        clock: Rc<dyn Clock>,
        address: SocketAddr,
        worker: Rc<FakeWorker>,
        slots: u32,
    ) -> Rc<Self> {
        let site = Rc::new(Self {
            clock,
            address,
            worker,
            guard: RefCell::default(),
            faults: RefCell::default(),
            slots,
            starts: Cell::new(0),
            handling: RefCell::default(),
        });
        site.start_guard();
        site
    }

    pub fn start_guard(&self) {
        self.starts.set(self.starts.get() + 1);
        let settings = GuardSettings {
            name: self.worker.name.clone(),
            region: "jozi".into(),
            data_centre: "jozi-1".into(),
            rack: "rack-1".into(),
            listen: self.address,
            worker: self.address,
            entries: Vec::new(),
            slots: self.slots,
            connections: 64,
            accelerators: 0,
            plain_tasks: 0,
            http: None,
            drain_timeout: Duration::from_secs(1),
        };
        let guard = Guard::new(
            settings,
            self.clock.clone(),
            Rc::new(Metrics::default()),
            self.worker.clone(),
            self.starts.get(),
        );
        *self.guard.borrow_mut() = Some(Rc::new(guard));
    }

    /// Ends the guard; what it was doing stops.
    pub fn kill_guard(&self) {
        self.guard.borrow_mut().take();
        let handling = self.handling.take();
        drop(handling);
    }

    /// Hands a frame to the guard after a pause, if the same guard still lives.
    fn deliver(
        &self,
        req: GuardRequest,
        pause: Duration,
        reply: oneshot::Sender<GuardReply>,
    ) {
        let Some(guard) = self.guard.borrow().clone() else {
            return;
        };
        let clock = self.clock.clone();
        let task = spawn(async move {
            clock.sleep(pause).await;
            let answer = PeerHandler::handle(guard, req).await;
            clock.sleep(LATENCY).await;
            let _ = reply.send(answer);
        });
        self.handling.borrow_mut().push(task);
    }

    async fn call(
        &self,
        req: GuardRequest,
    ) -> Result<GuardReply, LinkError> {
        let is_run = matches!(req, GuardRequest::Run(_));
        let fault = self.faults.borrow_mut().pop_front().filter(|_| is_run);
        if fault == Some(Fault::NotSent) || self.guard.borrow().is_none() {
            return Err(LinkError::NotSent);
        }
        if fault == Some(Fault::LoseRequest) {
            self.clock.sleep(LATENCY).await;
            return Err(LinkError::ReplyLost);
        }
        let (tx, rx) = oneshot::channel();
        let late = match fault {
            Some(Fault::Late(ms)) => Duration::from_millis(ms),
            _ => LATENCY,
        };
        if let Some(Fault::Double(ms)) = fault {
            let (second, _) = oneshot::channel();
            self.deliver(req.clone(), LATENCY + Duration::from_millis(ms), second);
        }
        self.deliver(req, late, tx);
        let reply = rx.await.map_err(|_| LinkError::ReplyLost)?;
        match (fault, reply) {
            (Some(Fault::LoseReply), _) => Err(LinkError::ReplyLost),
            (Some(Fault::Cross), GuardReply::Answer { mut id, status, .. }) => {
                id.sequence += 1_000_000;
                let body = Bytes::from_static(b"answer to another");
                Ok(GuardReply::Answer { id, status, body })
            }
            (_, reply) => Ok(reply),
        }
    }
}

impl GuardPeer for Site {
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>> {
        Box::pin(Site::call(self, req))
    }
}

/// Finds sites by address.
#[derive(Default)]
pub struct FakeDialer {
    pub sites: BTreeMap<SocketAddr, Rc<Site>>,
}

impl Dialer for FakeDialer {
    fn peer(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn GuardPeer> {
        self.sites[&address].clone()
    }
}
