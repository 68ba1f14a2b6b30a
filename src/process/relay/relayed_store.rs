//! The store, directly or through another entry.

use {
    super::{StoreCall, StoreReply},
    crate::{
        connection::{FrameError, read_frame, send_without_delay, write_frame},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Condition, KeyedPage, KeyedRecord, KeyedStore, StoreError},
            metrics::FleetMetrics,
        },
    },
    compio::net::TcpStream,
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::cell::Cell,
};

/// How long other entries are asked first after the store has refused this one. Longer pauses would
/// burden them after the store is back, shorter ones cost a failed call each.
const RELAY_FIRST_DURATION: Millis = Millis(2000);

/// How long the store may take for a call, besides the wait that the call asks for, before another
/// entry is asked as well; a slow store answers in some 300 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(450);

/// The longest time that another entry may take, which does not wait for records: a slow store
/// answers in some 300 ms.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// The pause after a relayed read without records, which takes the place of waiting at the store.
const EMPTY_READ_PAUSE: Duration = Duration::from_millis(200);

/// The longest time that connecting to another entry may take: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How many other entries are asked in turn.
const MAX_RELAY_ATTEMPTS: usize = 2;

/// A store that is reached directly, and through other entries while it refuses this one.
pub struct RelayedStore {
    direct: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
    metrics: Rc<FleetMetrics>,
    peers: RefCell<Vec<SocketAddr>>,
    next_peer: Cell<usize>,
    relay_first_until: Cell<Millis>,
}

impl RelayedStore {
    /// Creates the store without other entries.
    pub fn new(
        direct: Rc<dyn KeyedStore>,
        clock: Rc<dyn Clock>,
        metrics: Rc<FleetMetrics>,
    ) -> Self {
        Self {
            direct,
            clock,
            metrics,
            peers: RefCell::default(),
            next_peer: Cell::new(0),
            relay_first_until: Cell::new(Millis(0)),
        }
    }

    /// Sets the other entries.
    pub fn set_peers(
        &self,
        peers: Vec<SocketAddr>,
    ) {
        *self.peers.borrow_mut() = peers;
    }

    async fn call(
        &self,
        call: StoreCall,
    ) -> StoreReply {
        let is_refused = self.clock.now() < self.relay_first_until.get();
        if is_refused && let Some(reply) = self.call_relay(&call).await {
            return reply;
        }
        let reply = self.call_directly(&call, is_refused).await;
        let Some(error) = outage_error(&reply) else {
            return reply;
        };
        if !is_refused {
            tracing::info!(error = %error, "the store is asked through other entries");
        }
        if is_refused || !may_retry(&call, error) {
            return reply;
        }
        match self.call_relay(&call).await {
            // What may be stored by the first call does not become refused by the second one.
            Some(relayed) if outage_error(&relayed).is_none() => {
                self.relay_first_until
                    .set(self.clock.now() + RELAY_FIRST_DURATION);
                relayed
            }
            _ => reply,
        }
    }

    /// Calls the store. When it is silent for some time, another entry is asked as well, and the
    /// first proper answer counts.
    async fn call_directly(
        &self,
        call: &StoreCall,
        is_refused: bool,
    ) -> StoreReply {
        let direct = call.run(&*self.direct);
        pin_mut!(direct);
        let waiting = self.clock.sleep(call.wait() + HEDGE_DELAY);
        let early = match select(&mut direct, waiting).await {
            Either::Left((reply, _)) => Some(reply),
            Either::Right(_) => None,
        };
        let reply = match early {
            Some(reply) => reply,
            None if is_refused || !call.is_idempotent() => direct.await,
            None => {
                let relaying = self.call_relay(call);
                pin_mut!(relaying);
                match select(&mut direct, relaying).await {
                    Either::Left((reply, _)) => reply,
                    Either::Right((Some(relayed), _)) if outage_error(&relayed).is_none() => {
                        self.relay_first_until
                            .set(self.clock.now() + RELAY_FIRST_DURATION);
                        return relayed;
                    }
                    Either::Right(_) => direct.await,
                }
            }
        };
        self.count_call(call, &reply, "direct");
        if outage_error(&reply).is_none() {
            self.relay_first_until.set(Millis(0));
        }
        reply
    }

    /// Asks other entries; `None` when none answers.
    async fn call_relay(
        &self,
        call: &StoreCall,
    ) -> Option<StoreReply> {
        let peers = self.peers.borrow().clone();
        let call = &call.without_wait();
        for _ in 0..peers.len().min(MAX_RELAY_ATTEMPTS) {
            let next = self.next_peer.get();
            let peer = peers[next % peers.len()];
            self.next_peer.set(next + 1);
            let connecting = TcpStream::connect(peer);
            let connected = with_timeout(&*self.clock, CONNECT_TIMEOUT, connecting).await;
            let Some(Ok(stream)) = connected else {
                tracing::debug!(%peer, "the other entry is not reached");
                continue;
            };
            let asking = send_call(stream, call);
            match with_timeout(&*self.clock, RELAY_TIMEOUT, asking).await {
                Some(Ok(reply)) if outage_error(&reply).is_none() => {
                    self.count_call(call, &reply, "relayed");
                    if is_empty_page(&reply) {
                        self.clock.sleep(EMPTY_READ_PAUSE).await;
                    }
                    return Some(reply);
                }
                Some(Ok(_)) => tracing::debug!(%peer, "the store refuses the other entry too"),
                Some(Err(e)) => {
                    tracing::debug!(%peer, error = %e, "the other entry broke off");
                }
                None => {
                    tracing::debug!(%peer, "the other entry does not answer");
                    if matches!(call, StoreCall::Append { .. }) {
                        // It may have appended.
                        let lost = StoreError::Unknown("the relay does not answer".to_owned());
                        return Some(StoreReply::Appended(Err(lost)));
                    }
                }
            }
        }
        None
    }

    fn count_call(
        &self,
        call: &StoreCall,
        reply: &StoreReply,
        way: &str,
    ) {
        let name = match call {
            StoreCall::Newest { .. } => "newest",
            StoreCall::Read { .. } => "read",
            StoreCall::Append { .. } => "append",
        };
        let outcome = match reply.error() {
            None => way,
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
    fn newest<'a>(
        &'a self,
        topic: &'a str,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            into_page(
                self.call(StoreCall::Newest {
                    topic: topic.to_owned(),
                })
                .await,
            )
        })
    }

    fn read<'a>(
        &'a self,
        topic: &'a str,
        from: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        let call = StoreCall::Read {
            topic: topic.to_owned(),
            from,
            wait_ms: Millis::from(wait).0,
        };
        Box::pin(async move { into_page(self.call(call).await) })
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
        };
        Box::pin(async move {
            match self.call(call).await {
                StoreReply::Appended(result) => result,
                StoreReply::Page(_) => {
                    Err(StoreError::Unknown("an answer to another call".to_owned()))
                }
            }
        })
    }
}

/// Asks one other entry over a new connection.
async fn send_call(
    mut stream: TcpStream,
    call: &StoreCall,
) -> Result<StoreReply, FrameError> {
    send_without_delay(&stream);
    write_frame(&mut stream, call).await?;
    read_frame(&mut stream).await
}

/// Returns the error of an answer that does not come from a working store.
fn outage_error(reply: &StoreReply) -> Option<&StoreError> {
    let error = reply.error()?;
    matches!(error, StoreError::Refused(_) | StoreError::Unknown(_)).then_some(error)
}

fn is_empty_page(reply: &StoreReply) -> bool {
    matches!(reply, StoreReply::Page(Ok(page)) if page.records.is_empty())
}

/// Tells whether a call means the same when it is made again. An append at an offset does not
/// once the first one may have taken effect.
fn may_retry(
    call: &StoreCall,
    error: &StoreError,
) -> bool {
    call.is_idempotent() || matches!(error, StoreError::Refused(_))
}

fn into_page(reply: StoreReply) -> Result<KeyedPage, StoreError> {
    match reply {
        StoreReply::Page(result) => result,
        StoreReply::Appended(_) => Err(StoreError::Unknown("an answer to another call".to_owned())),
    }
}
