//! Keeps the pieces and the led gangs of one guard.

use {
    super::{
        Fences, LedGang, Piece, Stage,
        bounds::{END_KEEP, MAX_ANNOUNCED_ORPHANS, QUARANTINE},
    },
    crate::{
        connection::{
            GangId, GangReply, GangRequest, GuaranteedShare, GuardReply, GuardRequest, LinkError,
            StopCause,
        },
        prelude::*,
        process::{
            entry::Dialer, guard::AcceleratorAllocator, metrics::Metrics, platform::Worker,
            task_group::TaskGroup,
        },
    },
    event_listener::Event,
    std::collections::BTreeMap,
};

/// The pieces of gangs that run on one worker, and the gangs that its guard leads.
pub struct GangKeeper {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) worker: Rc<dyn Worker>,
    pub(super) dialer: Rc<dyn Dialer>,
    pub(super) book: RefCell<AcceleratorAllocator>,
    pub(super) fences: RefCell<Fences>,
    pub(super) pieces: RefCell<BTreeMap<GangId, Rc<Piece>>>,
    pub(super) led: RefCell<BTreeMap<GangId, Rc<LedGang>>>,
    /// Notified when accelerators change hands.
    pub(super) changed: Rc<Event>,
    /// The tasks of pieces and led gangs.
    pub(super) tasks: TaskGroup,
}

impl GangKeeper {
    /// Creates a keeper without gangs. It gives accelerators out once the leases of tasks that
    /// were started before it have lapsed.
    pub fn new(
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
        worker: Rc<dyn Worker>,
        dialer: Rc<dyn Dialer>,
        all: AcceleratorSet,
        plain_tasks: u32,
        changed: Rc<Event>,
    ) -> Self {
        let usable_from = clock.now() + Millis::from(QUARANTINE);
        Self {
            clock,
            metrics,
            worker,
            dialer,
            book: RefCell::new(AcceleratorAllocator::new(all, plain_tasks, usable_from)),
            fences: RefCell::default(),
            pieces: RefCell::default(),
            led: RefCell::default(),
            changed,
            tasks: TaskGroup::default(),
        }
    }

    /// Ends all tasks at once, as the death of the process would.
    pub fn kill(&self) {
        self.tasks.cancel();
    }

    /// Returns the accelerators that nothing holds.
    pub fn free(&self) -> AcceleratorSet {
        self.book.borrow().free_accelerators(self.clock.now())
    }

    /// Returns how many tasks without accelerators could still be started.
    pub fn plain_free(&self) -> u32 {
        self.book.borrow().free_plain_tasks(self.clock.now())
    }

    /// Returns the guaranteed accelerators that their account can reclaim from others' work.
    pub fn borrowed(&self) -> AcceleratorSet {
        self.book.borrow().borrowed()
    }

    /// Returns which accelerators are guaranteed to whom.
    pub fn guaranteed(&self) -> Vec<GuaranteedShare> {
        self.book.borrow().guaranteed().to_vec()
    }

    /// Tells whether no gang holds or runs anything here; ends may be kept for their owners.
    pub fn is_idle(&self) -> bool {
        let led = self.led.borrow();
        self.pieces.borrow().is_empty() && led.values().all(|l| l.ended_at().is_some())
    }

    /// Returns the pieces that hold something here, with the accelerators of each.
    pub fn pieces(&self) -> Vec<Rc<Piece>> {
        self.pieces.borrow().values().cloned().collect()
    }

    /// Returns led gangs that no owner has asked about for long, a few at most.
    pub fn orphans(&self) -> Vec<GangId> {
        let now = self.clock.now();
        let led = self.led.borrow();
        let orphans = led.values().filter(|l| l.is_orphan(now)).map(|l| l.id);
        orphans.take(MAX_ANNOUNCED_ORPHANS).collect()
    }

    /// Returns the number of ends that are kept for their owners.
    pub fn kept_ends(&self) -> usize {
        let led = self.led.borrow();
        led.values().filter(|l| l.ended_at().is_some()).count()
    }

    /// Takes a layout over unless as new a one is known. Work that is never evicted finishes where
    /// it is; meanwhile the guarantee is reported as not met.
    pub fn set_guaranteed(
        &self,
        layout: u64,
        guaranteed: Vec<GuaranteedShare>,
    ) {
        if self.book.borrow_mut().set_guaranteed(layout, guaranteed) {
            tracing::info!(layout, "a layout is in force");
            self.accelerators_changed();
        }
    }

    /// Gives back what has lapsed and forgets old fences and ends.
    pub fn expire(&self) {
        let now = self.clock.now();
        let is_old = |l: &LedGang| l.ended_at().is_some_and(|at| now.since(at) >= END_KEEP);
        self.led.borrow_mut().retain(|_, l| !is_old(l));
        let lapsed = self.book.borrow_mut().expire(now);
        for gang in &lapsed {
            let mut pieces = self.pieces.borrow_mut();
            let reserved = pieces
                .get(gang)
                .is_some_and(|p| p.stage() == Stage::Reserved);
            if reserved {
                pieces.remove(gang);
                tracing::info!(%gang, "a reservation lapsed");
            }
        }
        self.fences.borrow_mut().expire(now);
        if !lapsed.is_empty() {
            self.accelerators_changed();
        }
    }

    /// Does a call about a gang.
    pub async fn answer(
        self: Rc<Self>,
        req: GangRequest,
    ) -> GuardReply {
        let result = match req {
            GangRequest::Reserve(call) => self.reserve(call).await,
            GangRequest::Commit(call) => self.commit(call),
            GangRequest::Start(call) => self.start(call).await,
            GangRequest::Beat(beat) => self.beat(&beat),
            GangRequest::Stop { gang } => self.stop(gang, StopCause::WithGang).await,
            GangRequest::GiveWay { gang } => {
                self.stop_piece(gang, StopCause::Evicted);
                Ok(GangReply::Done)
            }
            GangRequest::Watch {
                gang,
                known,
                wait_ms,
            } => {
                self.watch(gang, known, Duration::from_millis(wait_ms))
                    .await
            }
            GangRequest::Release { gang, ownership } => self.release(gang, ownership).await,
            GangRequest::Inspect { job, ownership } => self.inspect(job, ownership),
        };
        match result {
            Ok(reply) => GuardReply::Gang(reply),
            Err(refusal) => GuardReply::Refused(refusal),
        }
    }

    /// Sends a call about a gang to a guard, or does it here when this guard leads the gang.
    pub(super) async fn call(
        self: &Rc<Self>,
        guard: SocketAddr,
        req: GangRequest,
    ) -> Result<GuardReply, LinkError> {
        let led_here = match &req {
            GangRequest::Beat(beat) => self.led.borrow().contains_key(&beat.gang),
            _ => false,
        };
        if led_here {
            return Ok(self.clone().answer(req).await);
        }
        let peer = self.dialer.peer(guard);
        peer.call(GuardRequest::Gang(req)).await
    }

    /// Tells waiting tasks and the metrics that accelerators changed hands.
    pub(super) fn accelerators_changed(&self) {
        let book = self.book.borrow();
        let held = book.accelerators_where(|_| true).len();
        let unmet = book.unmet().len();
        self.metrics.accelerators_in_use.set(i64::from(held));
        let before = self.metrics.gangs.unmet_accelerators.get();
        self.metrics.gangs.unmet_accelerators.set(i64::from(unmet));
        if before != i64::from(unmet) {
            tracing::warn!(
                layout = book.layout_number(),
                accelerators = unmet,
                "guaranteed accelerators are held by others' work that is never evicted"
            );
        }
        self.changed.notify(usize::MAX);
    }
}
