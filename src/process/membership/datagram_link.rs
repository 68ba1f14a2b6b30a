//! The border to the network of datagrams.

use {crate::prelude::*, compio::net::UdpSocket, std::io};

/// The pause after a failed receive, so that a broken socket does not spin.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The largest datagram that is read, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// A datagram with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedDatagram {
    /// Who sent it.
    pub from: SocketAddr,
    /// Its content.
    pub content: Vec<u8>,
}

/// A socket for datagrams, which may be lost, doubled, late or out of order.
pub trait DatagramLink {
    /// Returns the address at which others reach this socket.
    fn address(&self) -> SocketAddr;

    /// Sends a datagram; a failure counts as its loss.
    fn send(
        &self,
        to: SocketAddr,
        content: Vec<u8>,
    ) -> LocalBoxFuture<'_, ()>;

    /// Waits for the next datagram.
    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram>;
}

/// A UDP socket.
pub struct UdpLink {
    socket: UdpSocket,
    address: SocketAddr,
    clock: Rc<dyn Clock>,
}

impl UdpLink {
    /// Binds an address.
    ///
    /// # Errors
    /// The error of binding.
    pub async fn bind(
        address: SocketAddr,
        clock: Rc<dyn Clock>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self {
            socket,
            address,
            clock,
        })
    }

    async fn receive_one(&self) -> ReceivedDatagram {
        loop {
            let buf = Vec::with_capacity(RECEIVE_BUFFER_BYTES);
            let received = self.socket.recv_from(buf).await;
            match received.0 {
                Ok((len, from)) => {
                    let mut content = received.1;
                    content.truncate(len);
                    return ReceivedDatagram { from, content };
                }
                Err(e) => {
                    tracing::warn!(error = %e, "receiving a datagram failed");
                    self.clock.sleep(RECEIVE_RETRY_DELAY).await;
                }
            }
        }
    }
}

impl DatagramLink for UdpLink {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send(
        &self,
        to: SocketAddr,
        content: Vec<u8>,
    ) -> LocalBoxFuture<'_, ()> {
        Box::pin(async move {
            if let Err(e) = self.socket.send_to(content, to).await.0 {
                tracing::debug!(error = %e, %to, "sending a datagram failed");
            }
        })
    }

    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram> {
        Box::pin(self.receive_one())
    }
}
