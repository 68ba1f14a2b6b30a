//! Calls the store directly, or through another entry.

use {
    super::{StoreCall, StoreReply},
    crate::{
        connection::{FrameError, read_frame, set_nodelay, write_frame},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Condition, KeyedPage, KeyedRecord, KeyedStore, StoreError},
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

/// How long the store may take for a call, besides the wait that is part of the call, before the
/// call is also sent to another entry. A slow store answers in about 300 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(450);

/// The timeout of a relayed call, which never waits for records. A slow store answers in about
/// 300 ms.
const RELAY_TIMEOUT: Duration = Duration::from_millis(700);

/// The pause after a relayed read without records, which replaces the wait at the store.
const EMPTY_READ_PAUSE: Duration = Duration::from_millis(200);

/// The timeout for connecting to another entry: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of other entries to which a call is sent, one after the other.
const MAX_RELAY_ATTEMPTS: usize = 2;

/// A store that is called directly, or through other entries while it refuses or does not answer
/// the calls of this entry.
pub struct RelayedStore {
    direct: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
    metrics: Rc<PlatformMetrics>,
    peers: RefCell<Vec<SocketAddr>>,
    next_peer: Cell<usize>,
    /// Until when calls are sent to other entries first.
    relay_first_until: Cell<Millis>,
}

impl RelayedStore {
    /// Creates a store that knows no other entries yet.
    pub fn new(
        direct: Rc<dyn KeyedStore>,
        clock: Rc<dyn Clock>,
        metrics: Rc<PlatformMetrics>,
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
    ) -> StoreReply {
        let relays_first = self.clock.now() < self.relay_first_until.get();
        if relays_first && let Some(reply) = self.call_relay(&call).await {
            return reply;
        }
        let reply = self.call_directly(&call, relays_first).await;
        let Some(error) = outage_error(&reply) else {
            return reply;
        };
        if !relays_first {
            tracing::info!(error = %error, "the store is asked through other entries");
        }
        if relays_first || !may_retry(&call, error) {
            return reply;
        }
        match self.call_relay(&call).await {
            // If the relay fails too, the first reply counts: records that the first call may have
            // stored must not be reported as refused.
            Some(relayed) if outage_error(&relayed).is_none() => {
                self.relay_first_until
                    .set(self.clock.now() + RELAY_FIRST_DURATION);
                relayed
            }
            _ => reply,
        }
    }

    /// Calls the store. If it does not answer for some time, an idempotent call is also sent to
    /// another entry, and the first reply of a working store counts.
    async fn call_directly(
        &self,
        call: &StoreCall,
        relays_first: bool,
    ) -> StoreReply {
        let direct = call.run(&*self.direct);
        pin_mut!(direct);
        let hedge_timer = self.clock.sleep(call.wait() + HEDGE_DELAY);
        let first_reply = match select(&mut direct, hedge_timer).await {
            Either::Left((reply, _)) => Some(reply),
            Either::Right(_) => None,
        };
        let reply = match first_reply {
            Some(reply) => reply,
            None if relays_first || !call.is_idempotent() => direct.await,
            None => {
                let relayed_call = self.call_relay(call);
                pin_mut!(relayed_call);
                match select(&mut direct, relayed_call).await {
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

    /// Sends the call to other entries. Returns `None` if none of them gets a reply from a working
    /// store. An append that another entry does not answer in time has an unknown outcome and is
    /// not sent again.
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
                tracing::debug!(%peer, "cannot connect to the other entry");
                continue;
            };
            let sending = send_call(stream, call);
            match with_timeout(&*self.clock, RELAY_TIMEOUT, sending).await {
                Some(Ok(reply)) if outage_error(&reply).is_none() => {
                    self.count_call(call, &reply, "relayed");
                    if is_empty_page(&reply) {
                        self.clock.sleep(EMPTY_READ_PAUSE).await;
                    }
                    return Some(reply);
                }
                Some(Ok(_)) => tracing::debug!(%peer, "the store refuses the other entry too"),
                Some(Err(e)) => {
                    tracing::debug!(%peer, error = %e, "the connection to the other entry failed");
                }
                None => {
                    tracing::debug!(%peer, "the other entry did not answer in time");
                    if matches!(call, StoreCall::Append { .. }) {
                        // The other entry may have appended the records.
                        let error =
                            StoreError::Unknown("the relay did not answer in time".to_owned());
                        return Some(StoreReply::Appended(Err(error)));
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
                StoreReply::Page(_) => Err(StoreError::Unknown(
                    "the reply is for another kind of call".to_owned(),
                )),
            }
        })
    }
}

/// Sends a call to another entry over a new connection and returns its reply.
async fn send_call(
    mut stream: TcpStream,
    call: &StoreCall,
) -> Result<StoreReply, FrameError> {
    set_nodelay(&stream);
    write_frame(&mut stream, call).await?;
    read_frame(&mut stream).await
}

/// Returns the error of a reply that does not come from a working store.
fn outage_error(reply: &StoreReply) -> Option<&StoreError> {
    let error = reply.error()?;
    matches!(error, StoreError::Refused(_) | StoreError::Unknown(_)).then_some(error)
}

fn is_empty_page(reply: &StoreReply) -> bool {
    matches!(reply, StoreReply::Page(Ok(page)) if page.records.is_empty())
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
        StoreReply::Appended(_) => Err(StoreError::Unknown(
            "the reply is for another kind of call".to_owned(),
        )),
    }
}
