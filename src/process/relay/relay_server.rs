//! Makes calls to the store on behalf of other entries.

use {
    super::StoreCall,
    crate::{
        connection::{FrameError, read_frame, set_nodelay, write_frame},
        prelude::*,
        process::{clock::with_timeout, ledger::KeyedStore},
    },
    compio::net::{TcpListener, TcpStream},
    std::io,
};

/// The maximum time for a call to arrive on a new connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

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
    let reply = call?.run(store).await;
    write_frame(&mut stream, &reply).await?;
    Ok(())
}
