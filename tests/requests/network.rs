//! Simulated network between entries and guards, which loses, duplicates and delays
//! frames and returns mismatched replies.

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

/// Fault of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The connection is refused.
    NotSent,
    /// The request and the connection are lost.
    LoseRequest,
    /// The reply and the connection are lost.
    LoseReply,
    /// The request is delivered again after this many milliseconds.
    DuplicateRequest(u64),
    /// The request is delivered after this many milliseconds.
    DelayRequest(u64),
    /// The reply answers another request.
    MismatchReply,
}

const LATENCY: Duration = Duration::from_millis(1);

/// One upstream with its guard, which can be killed and restarted.
pub struct TestUpstream {
    pub clock: Rc<dyn Clock>,
    pub address: SocketAddr,
    pub worker: Rc<FakeWorker>,
    pub guard: RefCell<Option<Rc<Guard>>>,
    pub faults: RefCell<VecDeque<Fault>>,
    pub slots: u32,
    starts: Cell<u64>,
    calls: RefCell<Vec<JoinHandle<()>>>,
}

impl TestUpstream {
    pub fn start(
        clock: Rc<dyn Clock>,
        address: SocketAddr,
        worker: Rc<FakeWorker>,
        slots: u32,
    ) -> Rc<Self> {
        let upstream = Rc::new(Self {
            clock,
            address,
            worker,
            guard: RefCell::default(),
            faults: RefCell::default(),
            slots,
            starts: Cell::new(0),
            calls: RefCell::default(),
        });
        upstream.start_guard();
        upstream
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
            limits: limpetquay::process::limits::ProcessLimits::default(),
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

    /// Kills the guard and the calls in progress.
    pub fn kill_guard(&self) {
        self.guard.borrow_mut().take();
        let calls = self.calls.take();
        drop(calls);
    }

    /// Delivers a request to the guard after a pause, unless the guard is killed before.
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
        self.calls.borrow_mut().push(task);
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
            Some(Fault::DelayRequest(ms)) => Duration::from_millis(ms),
            _ => LATENCY,
        };
        if let Some(Fault::DuplicateRequest(ms)) = fault {
            let (second, _) = oneshot::channel();
            self.deliver(req.clone(), LATENCY + Duration::from_millis(ms), second);
        }
        self.deliver(req, late, tx);
        let reply = rx.await.map_err(|_| LinkError::ReplyLost)?;
        match (fault, reply) {
            (Some(Fault::LoseReply), _) => Err(LinkError::ReplyLost),
            (Some(Fault::MismatchReply), GuardReply::Answer { mut id, status, .. }) => {
                id.sequence += 1_000_000;
                let body = Bytes::from_static(b"answer to another");
                Ok(GuardReply::Answer { id, status, body })
            }
            (_, reply) => Ok(reply),
        }
    }
}

impl GuardPeer for TestUpstream {
    fn call(
        &self,
        req: GuardRequest,
    ) -> LocalBoxFuture<'_, Result<GuardReply, LinkError>> {
        Box::pin(TestUpstream::call(self, req))
    }
}

/// Finds upstreams by address.
#[derive(Default)]
pub struct FakeDialer {
    pub upstreams: BTreeMap<SocketAddr, Rc<TestUpstream>>,
}

impl Dialer for FakeDialer {
    fn peer(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn GuardPeer> {
        self.upstreams[&address].clone()
    }
}
