//! The gangs of one guard: dispatches requests, expires old state and reports what is in use.

use {
    super::{
        Fences, LedGang, Piece, PieceStage,
        bounds::{END_RETENTION, MAX_ANNOUNCED_ORPHANS, QUARANTINE},
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

/// Manages the pieces of gangs on one worker and the gangs that its guard leads.
pub struct GangManager {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) worker: Rc<dyn Worker>,
    pub(super) dialer: Rc<dyn Dialer>,
    pub(super) accelerators: RefCell<AcceleratorAllocator>,
    pub(super) fences: RefCell<Fences>,
    pub(super) pieces: RefCell<BTreeMap<GangId, Rc<Piece>>>,
    pub(super) led_gangs: RefCell<BTreeMap<GangId, Rc<LedGang>>>,
    /// Notified when accelerators are claimed or released; shared with the guard, which notifies it
    /// of its own changes too.
    pub(super) changed: Rc<Event>,
    /// The asynchronous tasks that run pieces and led gangs.
    pub(super) tasks: TaskGroup,
}

impl GangManager {
    /// Creates a manager without gangs. It reserves accelerators only after [`QUARANTINE`], when
    /// the leases of tasks that an earlier process started have expired.
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
            accelerators: RefCell::new(AcceleratorAllocator::new(all, plain_tasks, usable_from)),
            fences: RefCell::default(),
            pieces: RefCell::default(),
            led_gangs: RefCell::default(),
            changed,
            tasks: TaskGroup::default(),
        }
    }

    /// Cancels all asynchronous tasks at once, as the death of the process would.
    pub fn kill(&self) {
        self.tasks.cancel();
    }

    /// Returns the accelerators that no piece holds.
    pub fn free_accelerators(&self) -> AcceleratorSet {
        self.accelerators
            .borrow()
            .free_accelerators(self.clock.now())
    }

    /// Returns how many more tasks without accelerators can be started.
    pub fn free_plain_tasks(&self) -> u32 {
        self.accelerators
            .borrow()
            .free_plain_tasks(self.clock.now())
    }

    /// Returns the guaranteed accelerators that their account can reclaim from other accounts'
    /// work.
    pub fn borrowed(&self) -> AcceleratorSet {
        self.accelerators.borrow().borrowed()
    }

    /// Returns the guaranteed shares, each with its account and accelerators.
    pub fn guaranteed(&self) -> Vec<GuaranteedShare> {
        self.accelerators.borrow().guaranteed().to_vec()
    }

    /// Returns whether there is no piece and every led gang has ended; ended gangs may still be
    /// retained for their owners.
    pub fn is_idle(&self) -> bool {
        let led_gangs = self.led_gangs.borrow();
        self.pieces.borrow().is_empty() && led_gangs.values().all(|l| l.ended_at().is_some())
    }

    /// Returns the pieces on this worker, including those whose end the gang's leader has not
    /// acknowledged.
    pub fn pieces(&self) -> Vec<Rc<Piece>> {
        self.pieces.borrow().values().cloned().collect()
    }

    /// Returns the orphaned led gangs (see [`LedGang::is_orphan`]), at most
    /// [`MAX_ANNOUNCED_ORPHANS`].
    pub fn orphans(&self) -> Vec<GangId> {
        let now = self.clock.now();
        let led_gangs = self.led_gangs.borrow();
        let orphans = led_gangs
            .values()
            .filter(|l| l.is_orphan(now))
            .map(|l| l.id);
        orphans.take(MAX_ANNOUNCED_ORPHANS).collect()
    }

    /// Returns the number of ended gangs that are retained for their owners.
    pub fn retained_end_count(&self) -> usize {
        let led_gangs = self.led_gangs.borrow();
        led_gangs
            .values()
            .filter(|l| l.ended_at().is_some())
            .count()
    }

    /// Applies a layout if it is newer than the one in force. Work that is never evicted keeps its
    /// accelerators until it ends; until then the guarantee is reported as unmet.
    pub fn set_guaranteed(
        &self,
        layout: u64,
        guaranteed: Vec<GuaranteedShare>,
    ) {
        if self
            .accelerators
            .borrow_mut()
            .set_guaranteed(layout, guaranteed)
        {
            tracing::info!(layout, "applied a new layout of guarantees");
            self.accelerators_changed();
        }
    }

    /// Releases expired reservations and quarantines, and drops old fences and ended gangs.
    pub fn expire(&self) {
        let now = self.clock.now();
        let is_old = |l: &LedGang| {
            l.ended_at()
                .is_some_and(|at| now.since(at) >= END_RETENTION)
        };
        self.led_gangs.borrow_mut().retain(|_, l| !is_old(l));
        let expired = self.accelerators.borrow_mut().expire(now);
        for gang in &expired {
            let mut pieces = self.pieces.borrow_mut();
            let reserved = pieces
                .get(gang)
                .is_some_and(|p| p.stage() == PieceStage::Reserved);
            if reserved {
                pieces.remove(gang);
                tracing::info!(%gang, "reservation expired");
            }
        }
        self.fences.borrow_mut().expire(now);
        if !expired.is_empty() {
            self.accelerators_changed();
        }
    }

    /// Handles a request about a gang.
    pub async fn handle(
        self: Rc<Self>,
        req: GangRequest,
    ) -> GuardReply {
        let result = match req {
            GangRequest::Reserve(call) => self.reserve(call).await,
            GangRequest::Commit(call) => self.commit(call),
            GangRequest::Start(call) => self.start(call).await,
            GangRequest::Heartbeat(heartbeat) => self.handle_heartbeat(&heartbeat),
            GangRequest::Stop { gang } => self.stop(gang, StopCause::WithGang).await,
            GangRequest::Preempt { gang } => {
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

    /// Sends a request about a gang to a guard; handles a heartbeat here when this guard leads the
    /// gang.
    pub(super) async fn call(
        self: &Rc<Self>,
        guard: SocketAddr,
        req: GangRequest,
    ) -> Result<GuardReply, LinkError> {
        let is_led_here = match &req {
            GangRequest::Heartbeat(heartbeat) => {
                self.led_gangs.borrow().contains_key(&heartbeat.gang)
            }
            _ => false,
        };
        if is_led_here {
            return Ok(self.clone().handle(req).await);
        }
        let peer = self.dialer.peer(guard);
        peer.call(GuardRequest::Gang(req)).await
    }

    /// Updates the metrics and wakes the tasks that wait for a change of accelerators.
    pub(super) fn accelerators_changed(&self) {
        let accelerators = self.accelerators.borrow();
        let held = accelerators.accelerators_where(|_| true).len();
        let unmet = accelerators.unmet().len();
        self.metrics.accelerators_in_use.set(i64::from(held));
        let before = self.metrics.gangs.unmet_accelerators.get();
        self.metrics.gangs.unmet_accelerators.set(i64::from(unmet));
        if before != i64::from(unmet) {
            tracing::warn!(
                layout = accelerators.layout_number(),
                accelerators = unmet,
                "number of guaranteed accelerators held by non-evictable work changed"
            );
        }
        self.changed.notify(usize::MAX);
    }
}
