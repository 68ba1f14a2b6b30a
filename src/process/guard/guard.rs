//! The guard.

use {
    super::{AcceleratorBook, RequestRunner, SlotBook},
    crate::{
        connection::{GuardReply, GuardRequest, PeerHandler, Refusal, ReserveCall},
        prelude::*,
        process::{
            membership::{Announcement, ServingState},
            metrics::Metrics,
            platform::{TaskId, TaskStart, TaskState, Worker},
            settings::GuardSettings,
        },
    },
    event_listener::Event,
    std::cell::Cell,
};

/// How often lapsed reservations are looked for.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The guard of one upstream.
pub struct Guard {
    settings: GuardSettings,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    worker: Rc<dyn Worker>,
    slots: Rc<SlotBook>,
    requests: RequestRunner,
    accelerators: RefCell<AcceleratorBook>,
    version: Cell<VersionNumber>,
    document: RefCell<Rc<Document>>,
    incarnation: u64,
    sequence: Cell<u64>,
    changed: Rc<Event>,
}

impl Guard {
    /// Creates the guard of the upstream that `settings` name; `incarnation` has to be new at each
    /// start.
    pub fn new(
        settings: GuardSettings,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
        worker: Rc<dyn Worker>,
        incarnation: u64,
    ) -> Self {
        let changed = Rc::new(Event::new());
        let all = AcceleratorSet::first(settings.accelerators);
        let slots = Rc::new(SlotBook::new(settings.slots, changed.clone()));
        let requests = RequestRunner::new(
            clock.clone(),
            metrics.clone(),
            worker.clone(),
            slots.clone(),
        );
        Self {
            slots,
            requests,
            accelerators: RefCell::new(AcceleratorBook::new(all)),
            settings,
            clock,
            metrics,
            worker,
            version: Cell::default(),
            document: RefCell::default(),
            incarnation,
            sequence: Cell::new(0),
            changed,
        }
    }

    /// Returns what is notified when the announcement changes.
    pub fn changed(&self) -> Rc<Event> {
        self.changed.clone()
    }

    /// Returns the document in force.
    pub fn document(&self) -> Rc<Document> {
        self.document.borrow().clone()
    }

    /// Describes the upstream for its next announcement.
    pub fn describe(
        &self,
        guard_address: SocketAddr,
    ) -> Announcement {
        self.sequence.set(self.sequence.get() + 1);
        let accelerators = self.accelerators.borrow();
        let serving = if self.slots.is_draining() {
            ServingState::Draining
        } else {
            ServingState::Serving
        };
        Announcement {
            upstream: self.settings.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence.get(),
            guard_address,
            region: self.settings.region.clone(),
            data_centre: self.settings.data_centre.clone(),
            rack: self.settings.rack.clone(),
            serving,
            slots: self.slots.limit(),
            slots_in_use: self.slots.in_use(),
            accelerators: accelerators.all(),
            accelerators_free: accelerators.free(),
            version: self.version.get(),
        }
    }

    /// Starts or ends draining.
    pub fn set_draining(
        &self,
        draining: bool,
    ) {
        self.slots.set_draining(draining);
    }

    /// Tells whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.slots.in_use() == 0
    }

    /// Gives lapsed reservations back, for ever.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            self.clock.sleep(EXPIRY_INTERVAL).await;
            let lapsed = self.accelerators.borrow_mut().expire(self.clock.now());
            for id in &lapsed {
                tracing::info!(task = %id, "a reservation lapsed");
            }
            if !lapsed.is_empty() {
                self.changed.notify(usize::MAX);
            }
        }
    }

    fn reserve(
        &self,
        call: &ReserveCall,
    ) -> GuardReply {
        if self.slots.is_draining() {
            return GuardReply::Refused(Refusal::Draining);
        }
        let result = self
            .accelerators
            .borrow_mut()
            .reserve(self.clock.now(), call);
        self.accelerators_changed();
        match result {
            Ok(accelerators) => GuardReply::Reserved { accelerators },
            Err(refusal) => GuardReply::Refused(refusal),
        }
    }

    async fn commit(
        &self,
        mut task: TaskStart,
    ) -> GuardReply {
        let id = task.id;
        let committed = self.accelerators.borrow_mut().commit(id);
        match committed {
            Ok(accelerators) => task.accelerators = accelerators,
            Err(refusal) => return GuardReply::Refused(refusal),
        }
        match self.worker.start(task).await {
            Ok(()) => GuardReply::Done,
            Err(e) => {
                tracing::warn!(task = %id, error = %e, "a task was not started");
                self.release(id).await;
                GuardReply::Refused(Refusal::Worker)
            }
        }
    }

    async fn release(
        &self,
        id: TaskId,
    ) -> GuardReply {
        let held = self.accelerators.borrow().holding(id).is_some();
        if !held {
            return GuardReply::Done;
        }
        if let Err(e) = self.worker.stop(id).await {
            tracing::warn!(task = %id, error = %e, "a task was not stopped; its lease will lapse");
        }
        self.accelerators.borrow_mut().release(id);
        self.accelerators_changed();
        GuardReply::Done
    }

    async fn renew(
        &self,
        id: TaskId,
        wait: Duration,
    ) -> GuardReply {
        let held = self.accelerators.borrow().holding(id).is_some();
        if !held {
            return GuardReply::Refused(Refusal::NotReserved);
        }
        match self.worker.renew(id, wait).await {
            Ok(state @ TaskState::Ended(_)) => {
                self.accelerators.borrow_mut().release(id);
                self.accelerators_changed();
                GuardReply::Task(state)
            }
            Ok(state) => GuardReply::Task(state),
            Err(e) => GuardReply::Unknown {
                reason: e.to_string(),
            },
        }
    }

    /// Takes a document over unless a newer one is in force.
    fn take_document(
        &self,
        version: VersionNumber,
        text: &str,
    ) -> GuardReply {
        if version > self.version.get() {
            match Document::parse("document", text) {
                Ok(document) => {
                    *self.document.borrow_mut() = Rc::new(document);
                    self.version.set(version);
                    self.metrics.document_version.set(version.0 as i64);
                    self.changed.notify(usize::MAX);
                }
                Err(e) => tracing::error!(%version, error = %e, "a document was not taken over"),
            }
        }
        GuardReply::Done
    }

    fn accelerators_changed(&self) {
        let book = self.accelerators.borrow();
        let in_use = book.all().len() - book.free().len();
        self.metrics.accelerators_in_use.set(i64::from(in_use));
        self.changed.notify(usize::MAX);
    }

    async fn answer(
        &self,
        req: GuardRequest,
    ) -> GuardReply {
        match req {
            GuardRequest::Run(grant) => self.requests.run(grant).await,
            GuardRequest::Reserve(call) => self.reserve(&call),
            GuardRequest::Commit(task) => self.commit(task).await,
            GuardRequest::Release { id } => self.release(id).await,
            GuardRequest::Renew { id, wait_ms } => {
                self.renew(id, Duration::from_millis(wait_ms)).await
            }
            GuardRequest::Document { version, text } => self.take_document(version, &text),
            GuardRequest::Layout { number, guaranteed } => {
                self.accelerators
                    .borrow_mut()
                    .set_guaranteed(number, guaranteed);
                GuardReply::Done
            }
            GuardRequest::Drain { on } => {
                self.set_draining(on);
                GuardReply::Done
            }
        }
    }
}

impl PeerHandler for Guard {
    fn handle(
        self: Rc<Self>,
        req: GuardRequest,
    ) -> LocalBoxFuture<'static, GuardReply> {
        Box::pin(async move { self.answer(req).await })
    }
}
