//! The members of a gang on one worker.

use {
    crate::{
        connection::{GangId, PieceEnd, ReserveCall, StartCall, StopCause},
        prelude::*,
    },
    event_listener::{Event, EventListener},
    std::cell::Cell,
};

/// Where a piece is in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceStage {
    /// Its accelerators are held; nothing was started.
    Reserved,
    /// Its tasks are being started.
    Starting,
    /// Its tasks run.
    Running,
    /// No task of it runs any more.
    Ended,
}

/// The members of a gang that one guard holds accelerators for.
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
    /// Creates a piece that holds its accelerators.
    pub fn new(
        call: ReserveCall,
        accelerators: AcceleratorSet,
    ) -> Self {
        Self {
            reservation: call,
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

    /// Returns where the piece is in its life.
    pub fn stage(&self) -> PieceStage {
        self.stage.get()
    }

    /// Notes where the piece is in its life.
    pub fn set_stage(
        &self,
        stage: PieceStage,
    ) {
        self.stage.set(stage);
        self.changed.notify(usize::MAX);
    }

    /// Returns the call that started it.
    pub fn start_call(&self) -> Option<StartCall> {
        self.start_call.get()
    }

    /// Notes the call that starts it.
    pub fn record_start(
        &self,
        call: StartCall,
    ) {
        self.start_call.set(Some(call));
        self.set_stage(PieceStage::Starting);
    }

    /// Asks for its tasks to be stopped; the first cause stands.
    pub fn request_stop(
        &self,
        cause: StopCause,
    ) {
        if self.stop_cause.get().is_none() {
            self.stop_cause.set(Some(cause));
            self.changed.notify(usize::MAX);
        }
    }

    /// Returns why its tasks have to stop.
    pub fn stop_cause(&self) -> Option<StopCause> {
        self.stop_cause.get()
    }

    /// Notes how it ended; no task of it runs any more.
    pub fn set_end(
        &self,
        end: PieceEnd,
    ) {
        *self.end.borrow_mut() = Some(end);
        self.set_stage(PieceStage::Ended);
    }

    /// Returns how it ended.
    pub fn end(&self) -> Option<PieceEnd> {
        self.end.borrow().clone()
    }

    /// Returns what hears of the next change.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Returns the members with the accelerators of each.
    pub fn members(&self) -> Vec<(u32, AcceleratorSet)> {
        let mut left = self.accelerators;
        let members = self.reservation.members.iter().map(|member| {
            let own = left.take(self.reservation.accelerators).unwrap_or_default();
            left = left.without(own);
            (*member, own)
        });
        members.collect()
    }
}
