//! Calls of a lead guard about the members that run here.

use {
    super::{GangKeeper, Piece, PieceRun, Stage},
    crate::{
        connection::{GangId, GangReply, PieceEnd, Refusal, StartCall, StopCause},
        prelude::*,
        process::clock::with_timeout,
    },
};

/// The longest time that a call to stop waits until nothing runs any more.
const STOP_WAIT: Duration = Duration::from_secs(5);

impl GangKeeper {
    /// Starts a reserved piece and waits until its tasks run.
    pub(super) async fn start(
        self: &Rc<Self>,
        call: StartCall,
    ) -> Result<GangReply, Refusal> {
        let piece = self.pieces.borrow().get(&call.gang).cloned();
        let piece = piece.ok_or(Refusal::NotReserved)?;
        if piece.stage() == Stage::Reserved {
            self.book
                .borrow_mut()
                .mark_started(self.clock.now(), call.gang)?;
            piece.set_started(call);
            let run = PieceRun::new(self.clone(), piece.clone(), call);
            self.tasks.spawn(run.run());
        }
        loop {
            let changed = piece.listen();
            match piece.stage() {
                Stage::Running => return Ok(GangReply::Done),
                Stage::Down => return Err(Refusal::Worker),
                Stage::Reserved | Stage::Starting => changed.await,
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
                if piece.stage() == Stage::Down {
                    return;
                }
                changed.await;
            }
        };
        let down = with_timeout(&*self.clock, STOP_WAIT, down).await;
        down.map(|()| GangReply::Done).ok_or(Refusal::Worker)
    }

    /// Gives a piece's accelerators back, after a quarantine when its tasks may still run.
    pub(super) fn piece_down(
        &self,
        piece: &Piece,
        end: PieceEnd,
        quarantine: Option<Duration>,
    ) {
        let mut book = self.book.borrow_mut();
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
    pub(super) fn forget_piece(
        &self,
        gang: GangId,
    ) {
        self.pieces.borrow_mut().remove(&gang);
    }
}
