//! The members of a gang on one worker.

use {
    crate::{
        connection::{GangId, PieceEnd, ReserveCall, StartCall, StopCause},
        prelude::*,
    },
    event_listener::{Event, EventListener},
    std::cell::Cell,
};

/// The stage of a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceStage {
    /// Its accelerators are reserved; no task was started.
    Reserved,
    /// Its tasks are being started.
    Starting,
    /// Its tasks are running.
    Running,
    /// All its tasks have ended, or their accelerators are in quarantine.
    Ended,
}

/// The members of a gang on one worker, with the accelerators reserved for them.
#[derive(Debug)]
pub struct Piece {
    /// The reservation.
    pub reservation: ReserveCall,
    /// The accelerators of all its members.
    pub accelerators: AcceleratorSet,
    stage: Cell<PieceStage>,
    start_call: Cell<Option<StartCall>>,
    stop_cause: Cell<Option<StopCause>>,
    end: RefCell<Option<PieceEnd>>,
    changed: Event,
}

impl Piece {
    /// Creates a reserved piece.
    pub fn new(
        reservation: ReserveCall,
        accelerators: AcceleratorSet,
    ) -> Self {
        Self {
            reservation,
            accelerators,
            stage: Cell::new(PieceStage::Reserved),
            start_call: Cell::new(None),
            stop_cause: Cell::new(None),
            end: RefCell::new(None),
            changed: Event::new(),
        }
    }

    /// Returns the gang.
    pub fn gang(&self) -> GangId {
        self.reservation.gang
    }

    /// Returns the stage of the piece.
    pub fn stage(&self) -> PieceStage {
        self.stage.get()
    }

    /// Sets the stage of the piece and notifies listeners.
    pub fn set_stage(
        &self,
        stage: PieceStage,
    ) {
        self.stage.set(stage);
        self.changed.notify(usize::MAX);
    }

    /// Returns the call that started the piece.
    pub fn start_call(&self) -> Option<StartCall> {
        self.start_call.get()
    }

    /// Records the call that starts the piece.
    pub fn record_start(
        &self,
        call: StartCall,
    ) {
        self.start_call.set(Some(call));
        self.set_stage(PieceStage::Starting);
    }

    /// Requests that the tasks be stopped; of several causes the first one counts.
    pub fn request_stop(
        &self,
        cause: StopCause,
    ) {
        if self.stop_cause.get().is_none() {
            self.stop_cause.set(Some(cause));
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns why the tasks have to stop; `None` without a request.
    pub fn stop_cause(&self) -> Option<StopCause> {
        self.stop_cause.get()
    }

    /// Records how the piece ended.
    pub fn set_end(
        &self,
        end: PieceEnd,
    ) {
        *self.end.borrow_mut() = Some(end);
        self.set_stage(PieceStage::Ended);
    }

    /// Returns how the piece ended; `None` before its end.
    pub fn end(&self) -> Option<PieceEnd> {
        self.end.borrow().clone()
    }

    /// Returns a listener for the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns the index of each member with its accelerators.
    pub fn members(&self) -> Vec<(u32, AcceleratorSet)> {
        let mut remaining = self.accelerators;
        let members = self.reservation.members.iter().map(|member| {
            let own = remaining
                .select(self.reservation.accelerators_per_member)
                .unwrap_or_default();
            remaining = remaining.without(own);
            (*member, own)
        });
        members.collect()
    }
}
