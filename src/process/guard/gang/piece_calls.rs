//! Calls of a lead guard about the members that run here.

use {
    super::{GangManager, Piece, PieceRun, PieceStage},
    crate::{
        connection::{GangId, GangReply, PieceEnd, Refusal, StartCall, StopCause},
        prelude::*,
        process::clock::with_timeout,
    },
};

/// The longest time that a call to stop waits until nothing runs any more.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

impl GangManager {
    /// Starts a reserved piece and waits until its tasks run.
    pub(super) async fn start(
        self: &Rc<Self>,
        call: StartCall,
    ) -> Result<GangReply, Refusal> {
        let piece = self.pieces.borrow().get(&call.gang).cloned();
        let piece = piece.ok_or(Refusal::NotReserved)?;
        if piece.stage() == PieceStage::Reserved {
            self.accelerators
                .borrow_mut()
                .start(self.clock.now(), call.gang)?;
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

    /// Stops a piece and waits until none of its tasks runs any more.
    pub(super) async fn stop(
        &self,
        gang: GangId,
        cause: StopCause,
    ) -> Result<GangReply, Refusal> {
        self.stop_piece(gang, cause);
        let Some(piece) = self.pieces.borrow().get(&gang).cloned() else {
            return Ok(GangReply::Done);
        };
        let down = async {
            loop {
                let changed = piece.listen();
                if piece.stage() == PieceStage::Ended {
                    return;
                }
                changed.await;
            }
        };
        let down = with_timeout(&*self.clock, STOP_TIMEOUT, down).await;
        down.map(|()| GangReply::Done).ok_or(Refusal::Worker)
    }

    /// Gives a piece's accelerators back, after a quarantine when its tasks may still run.
    pub(super) fn end_piece(
        &self,
        piece: &Piece,
        end: PieceEnd,
        quarantine: Option<Duration>,
    ) {
        let mut book = self.accelerators.borrow_mut();
        match quarantine {
            Some(span) => {
                let until = self.clock.now() + Millis::from(span);
                book.quarantine(piece.gang(), until);
            }
            None => drop(book.release(piece.gang())),
        }
        drop(book);
        piece.set_end(end);
        self.accelerators_changed();
    }

    /// Forgets a piece whose end the lead guard knows.
    pub(super) fn remove_piece(
        &self,
        gang: GangId,
    ) {
        self.pieces.borrow_mut().remove(&gang);
    }
}
