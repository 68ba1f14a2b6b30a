//! Makes calls to the store on behalf of other entries.

use {
    super::{StoreCall, StoreReply},
    crate::{
        connection::{FrameError, read_frame, set_nodelay, write_frame},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{KeyedPage, KeyedStore},
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
/// frames: a list of many pages takes longer than the caller waits for one frame, which is 0.7 s.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(300);

/// The pause after a failed accept, so that the loop does not spin without free file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// A server that calls the store for entries whose own calls it refuses or does not answer, with
/// one task for each connection.
pub struct RelayServer {
    listener: TcpListener,
    store: Rc<dyn KeyedStore>,
    clock: Rc<dyn Clock>,
}

impl RelayServer {
    /// Binds the server's address. Calls go to `store`, which must not relay them further.
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
        })
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
                    let (store, clock) = (self.store.clone(), self.clock.clone());
                    let serving = async move {
                        if let Err(e) = serve(stream, &*store, &*clock).await {
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

/// Receives one call, makes it and sends the reply.
async fn serve(
    mut stream: TcpStream,
    store: &dyn KeyedStore,
    clock: &dyn Clock,
) -> Result<(), FrameError> {
    set_nodelay(&stream);
    let reading = read_frame::<_, StoreCall>(&mut stream);
    let Some(call) = with_timeout(clock, CALL_TIMEOUT, reading).await else {
        return Ok(());
    };
    let call = call?;
    let reply = {
        let running = call.run(store);
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
