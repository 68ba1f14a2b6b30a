//! Calls the store directly, or through another entry.

use {
    super::{StoreCall, StoreReply},
    crate::{
        connection::{FrameError, Transfer, read_frame_in_parts, set_nodelay, write_frame},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{
                Condition, KeyedPage, KeyedRecord, KeyedStore, ReadRange, StoreError, StoreHealth,
            },
            metrics::PlatformMetrics,
        },
    },
    compio::net::TcpStream,
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::cell::Cell,
};

/// How long calls are sent to other entries first, after the store has refused or not answered a
/// call of this entry while another entry could make it. A longer time would burden them once the
/// store is available again; a shorter one costs more failed calls.
const RELAY_FIRST_DURATION: Millis = Millis(2000);

/// How long a call may receive nothing, besides the wait that is part of the call, before it is also
/// sent to another entry. A slow store answers in about 300 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(450);

/// How long a relayed call, which never waits for records, may receive nothing. A slow store answers in
/// about 300 ms.
const RELAY_SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// The pause after a relayed read without records, which replaces the wait at the store.
const EMPTY_READ_PAUSE: Duration = Duration::from_millis(200);

/// The timeout for connecting to another entry: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of other entries to which a call is sent, one after the other.
const MAX_RELAY_ATTEMPTS: usize = 3;

/// The interval at which one read tries the direct path while calls go to other entries first.
const DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(600);

/// How long such a read may receive nothing at first before it goes to another entry as well.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// A store that is called directly, or through other entries while it refuses or does not answer
/// the calls of this entry.
pub struct RelayedStore {
    direct: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
    metrics: Rc<PlatformMetrics>,
    health: Rc<StoreHealth>,
    peers: RefCell<Vec<SocketAddr>>,
    /// The position of the entry that is asked next. It stays with an entry that answers.
    next_peer: Cell<usize>,
    /// Until when calls are sent to other entries first.
    relay_first_until: Cell<Millis>,
    /// When a read tries the direct path next.
    probe_due_at: Cell<Millis>,
}

/// The outcome of a call through other entries.
enum RelayOutcome {
    /// A working store has answered.
    Answered(StoreReply),
    /// No answer of a working store was received, and an append may have taken effect.
    Unknown,
    /// No answer of a working store was received, and nothing has taken effect.
    Failed,
}

impl RelayedStore {
    /// Creates a store that knows no other entries yet. `health` records which calls succeed.
    pub fn new(
        direct: Rc<dyn KeyedStore>,
        clock: Rc<dyn Clock>,
        metrics: Rc<PlatformMetrics>,
        health: Rc<StoreHealth>,
    ) -> Self {
        // Entries start at different peers, so that they do not all relay through the same one.
        let first_peer = usize::from(rand::random::<u16>());
        Self {
            direct,
            clock,
            metrics,
            health,
            peers: RefCell::default(),
            next_peer: Cell::new(first_peer),
            relay_first_until: Cell::new(Millis(0)),
            probe_due_at: Cell::new(Millis(0)),
        }
    }

    /// Replaces the addresses of the other entries.
    pub fn set_peers(
        &self,
        peers: Vec<SocketAddr>,
    ) {
        *self.peers.borrow_mut() = peers;
    }

    async fn call(
        &self,
        call: StoreCall,
        transfer: &Transfer<'_>,
    ) -> StoreReply {
        if self.clock.now() >= self.relay_first_until.get() {
            return self.call_directly_first(&call, transfer).await;
        }
        if let Some(reply) = self.probe_direct_path(&call, transfer).await {
            return reply;
        }
        match self.call_relay(&call, transfer).await {
            RelayOutcome::Answered(reply) => reply,
            RelayOutcome::Unknown => unknown_append("no other entry has answered"),
            RelayOutcome::Failed => self.call_direct(&call, transfer).await,
        }
    }

    /// Calls the store directly, and through another entry if it refuses the call or, where a call
    /// may be made twice, sends nothing for some time. While an answer arrives slowly, a second copy of
    /// it would only share the link with the first one.
    async fn call_directly_first(
        &self,
        call: &StoreCall,
        transfer: &Transfer<'_>,
    ) -> StoreReply {
        let direct_transfer = &Transfer::attempt_of(transfer);
        let direct = self.call_direct(call, direct_transfer);
        pin_mut!(direct);
        let first = call.wait() + HEDGE_DELAY;
        let answered =
            direct_transfer.with_silence_limit(&*self.clock, first, HEDGE_DELAY, direct.as_mut());
        let reply = match answered.await {
            Some(reply) => reply,
            None if call.is_idempotent() => return self.hedge(call, transfer, direct).await,
            None => direct.await,
        };
        let Some(error) = outage_error(&reply) else {
            return reply;
        };
        tracing::info!(error = %error, "the store is asked through other entries");
        if !may_retry(call, error) {
            return reply;
        }
        let relayed = self.call_relay(call, transfer).await;
        self.prefer_relays_after(&relayed);
        combine(reply, relayed)
    }

    /// Waits for a direct call that takes long, and makes it through another entry meanwhile. The
    /// first reply of a working store counts.
    async fn hedge<F>(
        &self,
        call: &StoreCall,
        transfer: &Transfer<'_>,
        direct: F,
    ) -> StoreReply
    where
        F: Future<Output = StoreReply> + Unpin,
    {
        let relayed_call = self.call_relay(call, transfer);
        pin_mut!(relayed_call);
        match select(direct, relayed_call).await {
            Either::Left((reply, _)) if outage_error(&reply).is_none() => reply,
            // The call through the other entry goes on and may take effect.
            Either::Left((reply, relayed_call)) => {
                let relayed = relayed_call.await;
                self.prefer_relays_after(&relayed);
                combine(reply, relayed)
            }
            Either::Right((RelayOutcome::Answered(reply), _)) => {
                self.health.record_direct_failure();
                self.prefer_relays();
                reply
            }
            Either::Right((relayed, direct)) => combine(direct.await, relayed),
        }
    }

    /// Tries the direct path with one read at times while calls go to other entries first. Returns
    /// the reply if the store has answered.
    async fn probe_direct_path(
        &self,
        call: &StoreCall,
        transfer: &Transfer<'_>,
    ) -> Option<StoreReply> {
        let now = self.clock.now();
        if matches!(call, StoreCall::Append { .. }) || now < self.probe_due_at.get() {
            return None;
        }
        self.probe_due_at.set(now + DIRECT_PROBE_INTERVAL.into());
        let call = call.without_wait();
        let transfer = Transfer::attempt_of(transfer);
        let direct = self.call_direct(&call, &transfer);
        let reply =
            transfer.with_silence_limit(&*self.clock, DIRECT_PROBE_TIMEOUT, HEDGE_DELAY, direct);
        let reply = reply.await;
        if reply.is_none() {
            self.health.record_direct_failure();
        }
        let reply = reply.filter(|r| outage_error(r).is_none())?;
        self.relay_first_until.set(Millis(0));
        self.pause_after_empty_read(&reply).await;
        Some(reply)
    }

    async fn call_direct(
        &self,
        call: &StoreCall,
        transfer: &Transfer<'_>,
    ) -> StoreReply {
        let called_at = self.clock.now();
        let reply = call.run(&*self.direct, transfer).await;
        self.count_call(call, &reply, "direct");
        let now = self.clock.now();
        if reply.error().is_none() && call.wait().is_zero() {
            self.health.record_duration(now.since(called_at));
        }
        match outage_error(&reply) {
            None => self.health.record_direct(now),
            Some(_) => self.health.record_direct_failure(),
        }
        reply
    }

    fn prefer_relays(&self) {
        let until = self.clock.now() + RELAY_FIRST_DURATION;
        self.relay_first_until.set(until);
    }

    fn prefer_relays_after(
        &self,
        relayed: &RelayOutcome,
    ) {
        if matches!(relayed, RelayOutcome::Answered(_)) {
            self.prefer_relays();
        }
    }

    /// Sends the call to other entries until one of them gets a reply from a working store. An
    /// append that may have taken effect is not sent again.
    async fn call_relay(
        &self,
        call: &StoreCall,
        transfer: &Transfer<'_>,
    ) -> RelayOutcome {
        let peers = self.peers.borrow().clone();
        let call = &call.without_wait();
        let mut attempts: Vec<(SocketAddr, &str)> = Vec::new();
        for _ in 0..peers.len().min(MAX_RELAY_ATTEMPTS) {
            let position = self.next_peer.get();
            let peer = peers[position % peers.len()];
            let connecting = TcpStream::connect(peer);
            let connected = with_timeout(&*self.clock, CONNECT_TIMEOUT, connecting).await;
            let Some(Ok(stream)) = connected else {
                attempts.push((peer, "not connected"));
                self.next_peer.set(position.wrapping_add(1));
                continue;
            };
            let reply = match send_call(stream, call, transfer, &*self.clock).await {
                Some(Ok(reply)) if outage_error(&reply).is_none() => {
                    self.health.record_relayed(self.clock.now());
                    self.count_call(call, &reply, "relayed");
                    self.pause_after_empty_read(&reply).await;
                    return RelayOutcome::Answered(reply);
                }
                Some(Ok(reply)) => {
                    attempts.push((peer, "the store did not answer it"));
                    Some(reply)
                }
                Some(Err(e)) => {
                    attempts.push((peer, "connection failed"));
                    tracing::debug!(%peer, error = %e, "the connection to the other entry failed");
                    None
                }
                None => {
                    attempts.push((peer, "no answer in time"));
                    None
                }
            };
            self.next_peer.set(position.wrapping_add(1));
            let is_refused = matches!(
                reply.as_ref().and_then(StoreReply::error),
                Some(StoreError::Refused(_))
            );
            if matches!(call, StoreCall::Append { .. }) && !is_refused {
                tracing::info!(%peer, "an append through another entry has no known outcome");
                return RelayOutcome::Unknown;
            }
        }
        if !attempts.is_empty() {
            tracing::info!(?attempts, "no other entry has answered for the store");
        }
        RelayOutcome::Failed
    }

    /// Replaces the wait of a read at the store, so that reads without it do not become a storm.
    async fn pause_after_empty_read(
        &self,
        reply: &StoreReply,
    ) {
        if is_empty_page(reply) {
            self.clock.sleep(EMPTY_READ_PAUSE).await;
        }
    }

    fn count_call(
        &self,
        call: &StoreCall,
        reply: &StoreReply,
        route: &str,
    ) {
        let name = match call {
            StoreCall::Newest { .. } => "newest",
            StoreCall::Read { .. } => "read",
            StoreCall::Append { .. } => "append",
        };
        let outcome = match reply.error() {
            None => route,
            Some(StoreError::Refused(_)) => "refused",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Fenced) => "fenced",
            Some(_) => "failed",
        };
        self.metrics
            .store_calls
            .with_label_values(&[name, outcome])
            .inc();
    }
}

impl KeyedStore for RelayedStore {
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        let call = StoreCall::Newest {
            topic: topic.to_owned(),
            accepts_parts: true,
            page_after: Some(after.unwrap_or_default().to_owned()),
        };
        Box::pin(async move { into_page(self.call(call, transfer).await) })
    }

    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        let call = StoreCall::Read {
            topic: range.topic.to_owned(),
            from: range.from,
            wait_ms: Millis::from(range.wait).0,
            accepts_parts: true,
            max_bytes: range.max_bytes,
        };
        Box::pin(async move { into_page(self.call(call, transfer).await) })
    }

    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        let call = StoreCall::Append {
            topic: topic.to_owned(),
            records: records.to_vec(),
            condition,
            accepts_rejection: true,
        };
        Box::pin(async move {
            match self.call(call, &Transfer::default()).await {
                StoreReply::Appended(result) => result,
                StoreReply::Page(_) | StoreReply::Part(_) => Err(StoreError::Unknown(
                    "the reply is for another kind of call".to_owned(),
                )),
            }
        })
    }
}

/// Sends a call to another entry over a new connection and returns its reply; `None` if nothing
/// arrives for too long. A reply that breaks off yields the records that have arrived.
async fn send_call(
    mut stream: TcpStream,
    call: &StoreCall,
    transfer: &Transfer<'_>,
    clock: &dyn Clock,
) -> Option<Result<StoreReply, FrameError>> {
    set_nodelay(&stream);
    let transfer = Transfer::attempt_of(transfer);
    let received = RefCell::new(KeyedPage::default());
    let calling = async {
        write_frame(&mut stream, call).await?;
        loop {
            let reply = read_frame_in_parts(&mut stream, &transfer).await?;
            let StoreReply::Part(mut part) = reply else {
                return Ok(reply);
            };
            let mut received = received.borrow_mut();
            received.records.append(&mut part.records);
            received.end = received.end.max(part.end);
            received.has_more |= part.has_more;
        }
    };
    let limit = RELAY_SILENCE_LIMIT;
    let reply = transfer
        .with_silence_limit(clock, limit, limit, calling)
        .await;
    let mut received = received.into_inner();
    match reply {
        Some(Ok(StoreReply::Page(Ok(mut page)))) => {
            received.records.append(&mut page.records);
            page.records = received.records;
            Some(Ok(StoreReply::Page(Ok(page))))
        }
        Some(Ok(reply)) => Some(Ok(reply)),
        cut => match call.cut_page(received) {
            Some(page) => {
                tracing::info!(
                    records = page.records.len(),
                    end = page.end,
                    "a reply of another entry was cut off; its complete records are used"
                );
                Some(Ok(StoreReply::Page(Ok(page))))
            }
            None => cut,
        },
    }
}

/// Returns the error of a reply that does not come from a working store.
fn outage_error(reply: &StoreReply) -> Option<&StoreError> {
    let error = reply.error()?;
    matches!(error, StoreError::Refused(_) | StoreError::Unknown(_)).then_some(error)
}

fn is_empty_page(reply: &StoreReply) -> bool {
    matches!(reply, StoreReply::Page(Ok(page)) if page.records.is_empty())
}

/// Returns the reply that follows from the outcomes of a direct call and of the same call through
/// other entries. An append counts as refused only if neither can have taken effect.
fn combine(
    direct: StoreReply,
    relayed: RelayOutcome,
) -> StoreReply {
    match (outage_error(&direct), relayed) {
        (None, _) => direct,
        (Some(_), RelayOutcome::Answered(reply)) => reply,
        (Some(_), RelayOutcome::Unknown) => unknown_append("no other entry has answered"),
        (Some(_), RelayOutcome::Failed) => direct,
    }
}

fn unknown_append(why: &str) -> StoreReply {
    StoreReply::Appended(Err(StoreError::Unknown(why.to_owned())))
}

/// Returns whether a call can be made again after it failed with `error`: if it is idempotent, or
/// if the store refused it.
fn may_retry(
    call: &StoreCall,
    error: &StoreError,
) -> bool {
    call.is_idempotent() || matches!(error, StoreError::Refused(_))
}

fn into_page(reply: StoreReply) -> Result<KeyedPage, StoreError> {
    match reply {
        StoreReply::Page(result) => result,
        StoreReply::Appended(_) | StoreReply::Part(_) => Err(StoreError::Unknown(
            "the reply is for another kind of call".to_owned(),
        )),
    }
}
