//! Reservations, and the evictions that they cause.

use {
    super::{GangManager, LedGang, Piece, PieceStage, bounds::RECLAIM_BOUND},
    crate::{
        connection::{GangEnd, GangId, GangReply, Refusal, ReserveCall, StopCause},
        prelude::*,
        process::clock::with_timeout,
    },
};

impl GangManager {
    /// Reserves accelerators for a piece and waits until evicted work has released them.
    pub(super) async fn reserve(
        self: &Rc<Self>,
        call: ReserveCall,
    ) -> Result<GangReply, Refusal> {
        let gang = call.gang;
        self.fences.borrow_mut().admit(self.clock.now(), gang)?;
        self.stop_older_starts(gang);
        let started = self.clock.now();
        if !self.pieces.borrow().contains_key(&gang) {
            self.reserve_accelerators(call)?;
        }
        let waiting = self.wait_until_exclusive(gang);
        let exclusive = with_timeout(&*self.clock, RECLAIM_BOUND, waiting).await;
        let elapsed = self.clock.now().since(started);
        match exclusive {
            Some(Ok((accelerators, true))) => {
                self.metrics
                    .gangs
                    .reclaim_seconds
                    .observe(elapsed.as_secs_f64());
                Ok(GangReply::Reserved { accelerators })
            }
            Some(Ok((accelerators, false))) => Ok(GangReply::Reserved { accelerators }),
            Some(Err(refusal)) => Err(refusal),
            None => {
                self.metrics.gangs.late_reclaims.inc();
                tracing::warn!(%gang, "a guaranteed share was not reclaimed within the bound");
                self.drop_reservation(gang);
                Err(Refusal::NoAccelerators)
            }
        }
    }

    /// Reserves accelerators for a piece and stops the pieces that have to be evicted from them.
    pub(super) fn reserve_accelerators(
        &self,
        call: ReserveCall,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let until = now + Millis(call.lifetime_ms) + Millis::from(RECLAIM_BOUND);
        let reservation = self.accelerators.borrow_mut().reserve(now, &call, until)?;
        let gang = call.gang;
        if !reservation.victims.is_empty() {
            let victims: Vec<String> = reservation.victims.iter().map(GangId::to_string).collect();
            tracing::info!(
                target: "decision",
                decision = "reclaim",
                %gang,
                account = %call.account,
                accelerators = ?reservation.accelerators,
                evicted = %victims.join(","),
            );
        }
        let piece = Piece::new(call, reservation.accelerators);
        self.pieces.borrow_mut().insert(gang, Rc::new(piece));
        for victim in reservation.victims {
            self.metrics.gangs.evictions.inc();
            self.stop_piece(victim, StopCause::Evicted);
        }
        self.accelerators_changed();
        Ok(())
    }

    /// Waits until no other piece holds a piece's accelerators; returns these and whether it had to
    /// wait.
    pub(super) async fn wait_until_exclusive(
        &self,
        gang: GangId,
    ) -> Result<(AcceleratorSet, bool), Refusal> {
        let mut waited = false;
        loop {
            let changed = self.changed.listen();
            let exclusive = self.accelerators.borrow().is_exclusive(gang);
            let piece = self.pieces.borrow().get(&gang).cloned();
            match (exclusive, piece) {
                (Some(true), Some(piece)) => return Ok((piece.accelerators, waited)),
                (Some(false), Some(_)) => {}
                _ => return Err(Refusal::NotReserved),
            }
            waited = true;
            changed.await;
        }
    }

    /// Stops the led gangs and pieces of earlier starts of the same job at this guard.
    pub(super) fn stop_older_starts(
        &self,
        gang: GangId,
    ) {
        let older = |other: &GangId| other.job == gang.job && other.term < gang.term;
        let led_gangs: Vec<Rc<LedGang>> = self.led_gangs.borrow().values().cloned().collect();
        for led_gang in led_gangs.iter().filter(|l| older(&l.id)) {
            led_gang.decide_end(GangEnd::Released);
        }
        let pieces: Vec<GangId> = self.pieces.borrow().keys().copied().collect();
        for piece in pieces.into_iter().filter(older) {
            self.stop_piece(piece, StopCause::Released);
        }
    }

    /// Requests the stop of a started piece, or drops a piece that is only reserved.
    pub(super) fn stop_piece(
        &self,
        gang: GangId,
        cause: StopCause,
    ) {
        let piece = self.pieces.borrow().get(&gang).cloned();
        match piece {
            Some(piece) if piece.stage() == PieceStage::Reserved => self.drop_reservation(gang),
            Some(piece) => piece.request_stop(cause),
            None => {}
        }
    }

    /// Drops a piece that is only reserved and releases its accelerators.
    pub(super) fn drop_reservation(
        &self,
        gang: GangId,
    ) {
        let mut pieces = self.pieces.borrow_mut();
        let reserved = pieces
            .get(&gang)
            .is_some_and(|p| p.stage() == PieceStage::Reserved);
        if reserved {
            pieces.remove(&gang);
            self.accelerators.borrow_mut().release(gang);
        }
        drop(pieces);
        self.accelerators_changed();
    }
}
