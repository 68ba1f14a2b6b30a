//! Requests of a gang's leader about the piece on this worker.

use {
    super::{GangManager, Piece, PieceRun, PieceStage},
    crate::{
        connection::{GangId, GangReply, PieceEnd, Refusal, StartCall, StopCause},
        prelude::*,
        process::clock::with_timeout,
    },
};

/// How long a request to stop waits until all tasks have ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

impl GangManager {
    /// Starts a reserved piece and waits until its tasks are running.
    pub(super) async fn start(
        self: &Rc<Self>,
        call: StartCall,
    ) -> Result<GangReply, Refusal> {
        let piece = self.pieces.borrow().get(&call.gang).cloned();
        let piece = piece.ok_or(Refusal::NotReserved)?;
        if piece.stage() == PieceStage::Reserved {
            self.accelerators
                .borrow_mut()
                .mark_started(self.clock.now(), call.gang)?;
            piece.record_start(call);
            let run = PieceRun::new(self.clone(), piece.clone(), call);
            self.tasks.spawn(run.run());
        }
        loop {
            let changed = piece.listen();
            match piece.stage() {
                PieceStage::Running => return Ok(GangReply::Done),
                PieceStage::Ended => return Err(Refusal::Worker),
                PieceStage::Reserved | PieceStage::Starting => changed.await,
            }
        }
    }

    /// Stops a piece and waits until it has ended.
    pub(super) async fn stop(
        &self,
        gang: GangId,
        cause: StopCause,
    ) -> Result<GangReply, Refusal> {
        self.stop_piece(gang, cause);
        let Some(piece) = self.pieces.borrow().get(&gang).cloned() else {
            return Ok(GangReply::Done);
        };
        let ended = async {
            loop {
                let changed = piece.listen();
                if piece.stage() == PieceStage::Ended {
                    return;
                }
                changed.await;
            }
        };
        let ended = with_timeout(&*self.clock, STOP_TIMEOUT, ended).await;
        ended.map(|()| GangReply::Done).ok_or(Refusal::Worker)
    }

    /// Records the end of a piece and releases its accelerators, after a quarantine if its tasks
    /// may still run.
    pub(super) fn end_piece(
        &self,
        piece: &Piece,
        end: PieceEnd,
        quarantine: Option<Duration>,
    ) {
        let mut accelerators = self.accelerators.borrow_mut();
        match quarantine {
            Some(duration) => {
                let until = self.clock.now() + Millis::from(duration);
                accelerators.quarantine(piece.gang(), until);
            }
            None => drop(accelerators.release(piece.gang())),
        }
        drop(accelerators);
        piece.set_end(end);
        self.accelerators_changed();
    }

    /// Removes a piece whose end was reported to the gang's leader, or whose report was given up.
    pub(super) fn remove_piece(
        &self,
        gang: GangId,
    ) {
        self.pieces.borrow_mut().remove(&gang);
    }
}
