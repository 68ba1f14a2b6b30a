//! Leads one committed gang from its start to its end.

use {
    super::{
        GangManager, LedGang,
        bounds::{CALL_RETRY_DELAY, HEARTBEAT_TIMEOUT, START_TIMEOUT},
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

/// The timeout of one call to start or stop a piece, which includes the calls of the piece's guard
/// to its worker.
const PIECE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// The run of one led gang.
pub(super) struct GangRun {
    manager: Rc<GangManager>,
    led_gang: Rc<LedGang>,
}

impl GangRun {
    /// Creates the run of a gang that was just committed.
    pub(super) fn new(
        manager: Rc<GangManager>,
        led_gang: Rc<LedGang>,
    ) -> Self {
        Self { manager, led_gang }
    }

    /// Starts all pieces, watches their leases until the gang's end is decided, and stops what
    /// still runs.
    pub(super) async fn run(self) {
        let pieces = 0..self.led_gang.pieces.len();
        let starts = pieces.clone().map(|piece| self.start_piece(piece));
        join_all(starts).await;
        self.watch_leases().await;
        let stops = pieces.map(|piece| self.stop_piece(piece));
        join_all(stops).await;
        let end = self.led_gang.finish(self.manager.clock.now());
        self.manager.record_gang_end(&self.led_gang, &end);
    }

    /// Starts one piece, or decides that the gang ends as not started.
    async fn start_piece(
        &self,
        piece: usize,
    ) {
        let until = self.manager.clock.now() + Millis::from(START_TIMEOUT);
        while !self.led_gang.has_reported(piece) && !self.led_gang.is_end_decided() {
            if self.manager.clock.now() >= until {
                return self.end_not_started(piece, Refusal::Worker);
            }
            self.led_gang
                .record_start_sent(self.manager.clock.now(), piece);
            match self.send_start(piece).await {
                Some(GuardReply::Refused(refusal)) if !self.led_gang.has_reported(piece) => {
                    self.led_gang.record_stopped(piece);
                    return self.end_not_started(piece, refusal);
                }
                Some(GuardReply::Gang(GangReply::Done)) => self.wait_for_heartbeat(piece).await,
                _ => self.manager.clock.sleep(CALL_RETRY_DELAY).await,
            }
        }
    }

    fn end_not_started(
        &self,
        piece: usize,
        refusal: Refusal,
    ) {
        let piece = piece as u32;
        self.led_gang
            .decide_end(GangEnd::NotStarted { refusal, piece });
    }

    async fn send_start(
        &self,
        piece: usize,
    ) -> Option<GuardReply> {
        let start = StartCall {
            gang: self.led_gang.id,
            leader_address: self.led_gang.pieces[0].guard,
            piece: piece as u32,
        };
        self.send(piece, GangRequest::Start(start)).await
    }

    /// Waits for the first heartbeat of a started piece, which follows its start at once.
    async fn wait_for_heartbeat(
        &self,
        piece: usize,
    ) {
        let reported = async {
            loop {
                let changed = self.led_gang.listen();
                if self.led_gang.has_reported(piece) || self.led_gang.is_end_decided() {
                    return;
                }
                changed.await;
            }
        };
        with_timeout(&*self.manager.clock, HEARTBEAT_TIMEOUT, reported).await;
    }

    /// Waits until the gang's end is decided, expiring leases meanwhile.
    async fn watch_leases(&self) {
        loop {
            let changed = self.led_gang.listen();
            let now = self.manager.clock.now();
            self.led_gang.expire_leases(now);
            if self.led_gang.is_end_decided() {
                return;
            }
            match self.led_gang.next_lease_expiry() {
                Some(expiry) => {
                    let wait = expiry.since(now);
                    with_timeout(&*self.manager.clock, wait, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Retries the stop of one piece until its guard confirms it or the leases of its tasks have
    /// expired.
    async fn stop_piece(
        &self,
        piece: usize,
    ) {
        let gang = self.led_gang.id;
        while !self.led_gang.is_stopped(self.manager.clock.now(), piece) {
            match self.send(piece, GangRequest::Stop { gang }).await {
                Some(GuardReply::Gang(GangReply::Done)) => self.led_gang.record_stopped(piece),
                _ => self.manager.clock.sleep(CALL_RETRY_DELAY).await,
            }
        }
    }

    /// Sends a request to a piece's guard; returns `None` when no reply arrives in time.
    async fn send(
        &self,
        piece: usize,
        req: GangRequest,
    ) -> Option<GuardReply> {
        let call = async {
            if piece == 0 {
                return Ok(self.manager.clone().handle(req).await);
            }
            let peer = self.manager.dialer.peer(self.led_gang.pieces[piece].guard);
            peer.call(GuardRequest::Gang(req)).await
        };
        with_timeout(&*self.manager.clock, PIECE_CALL_TIMEOUT, call)
            .await?
            .ok()
    }
}
