//! Dispatches the calls to one upstream's guard and describes the upstream to the entries.

use {
    super::{GangManager, RequestRunner, SlotPool},
    crate::{
        connection::{GangRequest, GuardReply, GuardRequest, PeerHandler, Refusal},
        prelude::*,
        process::{
            entry::{Dialer, LinkDialer},
            membership::{Announcement, ServingState},
            metrics::Metrics,
            platform::Worker,
            settings::GuardSettings,
        },
    },
    event_listener::Event,
    std::cell::Cell,
};

/// The interval at which expired reservations, quarantines, fences and ended gangs are dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);

/// The guard of one upstream: admits requests and gangs to its worker.
pub struct Guard {
    settings: GuardSettings,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
    slots: Rc<SlotPool>,
    requests: RequestRunner,
    gangs: Rc<GangManager>,
    document_version: Cell<VersionNumber>,
    incarnation: u64,
    sequence: Cell<u64>,
    changed: Rc<Event>,
}

impl Guard {
    /// Creates the guard of the upstream named in `settings`; `incarnation` has to differ at each
    /// start of the process.
    pub fn new(
        settings: GuardSettings,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
        worker: Rc<dyn Worker>,
        incarnation: u64,
    ) -> Self {
        let dialer = LinkDialer::new(clock.clone(), metrics.clone());
        Self::with_dialer(
            settings,
            clock,
            metrics,
            worker,
            incarnation,
            Rc::new(dialer),
        )
    }

    /// Creates a guard that connects to other guards through `dialer`.
    pub fn with_dialer(
        settings: GuardSettings,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
        worker: Rc<dyn Worker>,
        incarnation: u64,
        dialer: Rc<dyn Dialer>,
    ) -> Self {
        let changed = Rc::new(Event::new());
        let slots = Rc::new(SlotPool::new(settings.slots, changed.clone()));
        let requests = RequestRunner::new(
            clock.clone(),
            metrics.clone(),
            worker.clone(),
            slots.clone(),
        );
        let gangs = GangManager::new(
            clock.clone(),
            metrics.clone(),
            worker.clone(),
            dialer,
            AcceleratorSet::first(settings.accelerators),
            settings.plain_tasks,
            changed.clone(),
        );
        Self {
            slots,
            requests,
            gangs: Rc::new(gangs),
            settings,
            clock,
            metrics,
            document_version: Cell::default(),
            incarnation,
            sequence: Cell::new(0),
            changed,
        }
    }

    /// Returns the gangs of this guard.
    pub fn gangs(&self) -> &Rc<GangManager> {
        &self.gangs
    }

    /// Returns the event that is notified when the content of the announcement changes.
    pub fn changed(&self) -> Rc<Event> {
        self.changed.clone()
    }

    /// Returns the document version in force.
    pub fn document_version(&self) -> VersionNumber {
        self.document_version.get()
    }

    /// Builds the upstream's next announcement, with a new sequence number.
    pub fn next_announcement(
        &self,
        guard_address: SocketAddr,
    ) -> Announcement {
        self.sequence.set(self.sequence.get() + 1);
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
            accelerators: AcceleratorSet::first(self.settings.accelerators),
            accelerators_free: self.gangs.free_accelerators(),
            plain_tasks: self.settings.plain_tasks,
            plain_free: self.gangs.free_plain_tasks(),
            evictable: self.gangs.borrowed(),
            guaranteed: self.gangs.guaranteed(),
            orphans: self.gangs.orphans(),
            version: self.document_version.get(),
        }
    }

    /// Starts or stops draining.
    pub fn set_draining(
        &self,
        draining: bool,
    ) {
        self.slots.set_draining(draining);
    }

    /// Returns whether the guard is ready: it has a document version and is not draining.
    pub fn is_ready(&self) -> bool {
        self.document_version.get() > VersionNumber::default() && !self.slots.is_draining()
    }

    /// Returns whether no request is in progress; running gangs are not counted.
    pub fn is_idle(&self) -> bool {
        self.slots.in_use() == 0
    }

    /// Drops expired state of gangs at a fixed interval, see [`GangManager::expire`]; never returns.
    pub async fn run_expiry(self: Rc<Self>) {
        loop {
            self.clock.sleep(EXPIRY_INTERVAL).await;
            self.gangs.expire();
        }
    }

    /// Handles a request about a gang; refuses reservations while the upstream is draining.
    async fn handle_gang_request(
        &self,
        req: GangRequest,
    ) -> GuardReply {
        let is_reservation = matches!(req, GangRequest::Reserve(_));
        if is_reservation && self.slots.is_draining() {
            return GuardReply::Refused(Refusal::Draining);
        }
        self.gangs.clone().handle(req).await
    }

    /// Stores the document version in force unless a newer one is known.
    fn apply_document_version(
        &self,
        version: VersionNumber,
    ) -> GuardReply {
        if version > self.document_version.get() {
            self.document_version.set(version);
            self.metrics.document_version.set(version.0 as i64);
            self.changed.notify(usize::MAX);
        }
        GuardReply::Done
    }

    async fn handle_request(
        &self,
        req: GuardRequest,
    ) -> GuardReply {
        match req {
            GuardRequest::Run(req) => self.requests.run(req).await,
            GuardRequest::Gang(req) => self.handle_gang_request(req).await,
            GuardRequest::Document { version } => self.apply_document_version(version),
            GuardRequest::Layout { number, guaranteed } => {
                self.gangs.set_guaranteed(number, guaranteed);
                GuardReply::Done
            }
            GuardRequest::Drain { is_draining: on } => {
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
        Box::pin(async move { self.handle_request(req).await })
    }
}
