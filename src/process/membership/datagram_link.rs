//! The interface to the datagram network.

use {crate::prelude::*, compio::net::UdpSocket, std::io};

/// The delay after a failed receive, so that a broken socket does not cause a busy loop.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The size of the receive buffer, in bytes; a longer datagram is truncated.
const RECEIVE_BUFFER_BYTES: usize = 2048;

/// A received datagram with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedDatagram {
    /// The address of the sender.
    pub from: SocketAddr,
    /// The payload.
    pub content: Vec<u8>,
}

/// A datagram socket. Datagrams may be lost, duplicated, delayed or reordered.
pub trait DatagramLink {
    /// Returns the local address, at which other processes reach this socket.
    fn address(&self) -> SocketAddr;

    /// Sends a datagram; a failure is treated as its loss.
    fn send(
        &self,
        to: SocketAddr,
        content: Vec<u8>,
    ) -> LocalBoxFuture<'_, ()>;

    /// Waits for the next datagram.
    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram>;
}

/// A [`DatagramLink`] over a UDP socket.
pub struct UdpLink {
    socket: UdpSocket,
    address: SocketAddr,
    clock: Rc<dyn Clock>,
}

impl UdpLink {
    /// Binds a UDP socket to an address.
    ///
    /// # Errors
    /// Returns the I/O error if the socket cannot be bound.
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
                    tracing::warn!(error = %e, "failed to receive a datagram");
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
                tracing::debug!(error = %e, %to, "failed to send a datagram");
            }
        })
    }

    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram> {
        Box::pin(self.receive_one())
    }
}
