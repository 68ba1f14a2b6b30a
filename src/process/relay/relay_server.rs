//! Makes calls to the store on behalf of other entries.

use {
    super::{StoreCall, StoreReply},
    crate::{
        connection::{FrameError, Transfer, read_limited_frame, set_nodelay, write_frame},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{KeyedPage, KeyedStore},
            limits::{OpenConnection, PortLimiter},
        },
    },
    compio::net::{TcpListener, TcpStream},
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::io,
};

/// The maximum time for a call to arrive on a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// The interval at which a caller learns that its call is in progress, if it accepts a reply of several
/// frames: this entry's own read may take longer than the caller waits without a byte, which is 0.7 s.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);

/// The pause after a failed accept, so that the loop does not spin without free file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// A server that calls the store for entries whose own calls it refuses or does not answer, with
/// one task for each connection.
pub struct RelayServer {
    listener: TcpListener,
    store: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
    limiter: Rc<PortLimiter>,
}

impl RelayServer {
    /// Binds the address of a server without limits. Calls go to `store`, which must not relay them further.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        store: Rc<dyn KeyedStore>,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            store,
            clock,
            limiter: Rc::new(PortLimiter::unlimited()),
        })
    }

    /// Makes the server's connections and calls count in `limiter`.
    pub fn with_limiter(
        mut self,
        limiter: Rc<PortLimiter>,
    ) -> Self {
        self.limiter = limiter;
        self
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Returns an error if the socket does not give its address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections forever.
    pub async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, peer)) => {
                    let Some(open) = self.limiter.open_connection().await else {
                        continue;
                    };
                    let (store, clock) = (self.store.clone(), self.clock.clone());
                    let serving = async move {
                        if let Err(e) = serve(stream, &open, &*store, &*clock).await {
                            tracing::info!(%peer, error = %e, "relayed store call ended");
                        }
                    };
                    compio::runtime::spawn(serving).detach();
                }
                Err(e) => {
                    tracing::warn!(error = %e, "failed to accept a connection of another entry");
                    self.clock.sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }
}

/// Receives one call, makes it and sends the reply. A connection without a complete call is closed
/// when others need its place.
async fn serve(
    mut stream: TcpStream,
    open: &OpenConnection,
    store: &dyn KeyedStore,
    clock: &dyn Clock,
) -> Result<(), FrameError> {
    set_nodelay(&stream);
    let call = {
        let reading = read_limited_frame::<_, StoreCall>(&mut stream, open.limiter());
        let reading = with_timeout(clock, CALL_TIMEOUT, reading);
        let closing = open.wait_for_close();
        pin_mut!(reading, closing);
        match select(closing, reading).await {
            Either::Right((Some(call), _)) => call?,
            Either::Left(_) | Either::Right((None, _)) => return Ok(()),
        }
    };
    let _busy = open.begin_request();
    let reply = {
        let transfer = Transfer::default();
        let running = call.run(store, &transfer);
        pin_mut!(running);
        loop {
            match select(running.as_mut(), clock.sleep(PROGRESS_INTERVAL)).await {
                Either::Left((reply, _)) => break reply,
                Either::Right(_) if call.accepts_parts() => {
                    let in_progress = StoreReply::Part(KeyedPage::default());
                    write_frame(&mut stream, &in_progress).await?;
                }
                Either::Right(_) => {}
            }
        }
    };
    for frame in call.reply_frames(reply) {
        write_frame(&mut stream, &frame).await?;
    }
    Ok(())
}
