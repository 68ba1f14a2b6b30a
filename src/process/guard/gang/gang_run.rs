//! Leads one committed gang from its start to its end.

use {
    super::{
        GangKeeper, LedGang,
        bounds::{BEAT_TIMEOUT, CALL_RETRY, START_BOUND},
    },
    crate::{
        connection::{
            GangEnd, GangReply, GangRequest, GuardReply, GuardRequest, Refusal, StartCall,
        },
        prelude::*,
        process::clock::with_timeout,
    },
    futures_util::future::join_all,
};

/// The longest time that one call to start or stop a piece may take; the piece calls its worker
/// meanwhile.
const PIECE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The task of one led gang.
pub(super) struct GangRun {
    keeper: Rc<GangKeeper>,
    led: Rc<LedGang>,
}

impl GangRun {
    /// Creates the run of a gang that was just committed.
    pub(super) fn new(
        keeper: Rc<GangKeeper>,
        led: Rc<LedGang>,
    ) -> Self {
        Self { keeper, led }
    }

    /// Starts all pieces, watches their leases and stops the rest when one is gone.
    pub(super) async fn run(self) {
        let pieces = 0..self.led.pieces.len();
        let starts = pieces.clone().map(|piece| self.start_piece(piece));
        join_all(starts).await;
        self.watch_leases().await;
        let stops = pieces.map(|piece| self.stop_piece(piece));
        join_all(stops).await;
        let end = self.led.finish(self.keeper.clock.now());
        self.keeper.note_gang_end(&self.led, &end);
    }

    /// Starts one piece, or decides that the gang does not start.
    async fn start_piece(
        &self,
        piece: usize,
    ) {
        let until = self.keeper.clock.now() + Millis::from(START_BOUND);
        while !self.led.is_heard(piece) && !self.led.is_decided() {
            if self.keeper.clock.now() >= until {
                return self.not_started(piece, Refusal::Worker);
            }
            self.led.note_sent(self.keeper.clock.now(), piece);
            match self.send_start(piece).await {
                Some(GuardReply::Refused(refusal)) if !self.led.is_heard(piece) => {
                    self.led.note_down(piece);
                    return self.not_started(piece, refusal);
                }
                Some(GuardReply::Gang(GangReply::Done)) => self.wait_until_heard(piece).await,
                _ => self.keeper.clock.sleep(CALL_RETRY).await,
            }
        }
    }

    fn not_started(
        &self,
        piece: usize,
        refusal: Refusal,
    ) {
        let piece = piece as u32;
        self.led.decide(GangEnd::NotStarted { refusal, piece });
    }

    async fn send_start(
        &self,
        piece: usize,
    ) -> Option<GuardReply> {
        let start = StartCall {
            gang: self.led.id,
            lead: self.led.pieces[0].guard,
            piece: piece as u32,
        };
        self.send(piece, GangRequest::Start(start)).await
    }

    /// Waits for the first renewal of a started piece, which follows its start at once.
    async fn wait_until_heard(
        &self,
        piece: usize,
    ) {
        let heard = async {
            loop {
                let changed = self.led.listen();
                if self.led.is_heard(piece) || self.led.is_decided() {
                    return;
                }
                changed.await;
            }
        };
        with_timeout(&*self.keeper.clock, BEAT_TIMEOUT, heard).await;
    }

    /// Waits until it is decided how the gang ends.
    async fn watch_leases(&self) {
        loop {
            let changed = self.led.listen();
            let now = self.keeper.clock.now();
            self.led.lapse(now);
            if self.led.is_decided() {
                return;
            }
            match self.led.next_lapse() {
                Some(lapse) => {
                    let wait = lapse.since(now);
                    with_timeout(&*self.keeper.clock, wait, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Stops one piece, until its guard says that it is down or its tasks' leases have lapsed.
    async fn stop_piece(
        &self,
        piece: usize,
    ) {
        let gang = self.led.id;
        while !self.led.is_down(self.keeper.clock.now(), piece) {
            match self.send(piece, GangRequest::Stop { gang }).await {
                Some(GuardReply::Gang(GangReply::Done)) => self.led.note_down(piece),
                _ => self.keeper.clock.sleep(CALL_RETRY).await,
            }
        }
    }

    /// Sends a call to a piece's guard; `None` when no reply came in time.
    async fn send(
        &self,
        piece: usize,
        req: GangRequest,
    ) -> Option<GuardReply> {
        let call = async {
            if piece == 0 {
                return Ok(self.keeper.clone().answer(req).await);
            }
            let peer = self.keeper.dialer.peer(self.led.pieces[piece].guard);
            peer.call(GuardRequest::Gang(req)).await
        };
        with_timeout(&*self.keeper.clock, PIECE_CALL_TIMEOUT, call)
            .await?
            .ok()
    }
}
