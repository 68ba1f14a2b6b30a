//! Hears announcements.

use {
    super::{Datagram, MemberTable, announcement::MAX_DATAGRAM_BYTES},
    crate::{prelude::*, process::metrics::Metrics},
    compio::net::UdpSocket,
    std::io,
};

/// The pause after a failed receive, so that a broken socket does not spin.
const RECEIVE_RETRY: Duration = Duration::from_millis(100);

/// Receives the datagrams of one entry.
pub struct MemberListener {
    socket: UdpSocket,
    clock: Rc<dyn Clock>,
    metrics: Rc<Metrics>,
}

impl MemberListener {
    /// Binds the listener's address.
    ///
    /// # Errors
    /// The error of binding.
    pub async fn bind(
        address: SocketAddr,
        clock: Rc<dyn Clock>,
        metrics: Rc<Metrics>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            clock,
            metrics,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// The error of the socket.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Receives for ever and takes announcements over into the table.
    pub async fn run(
        self,
        table: &RefCell<MemberTable>,
    ) {
        let mut buf = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buf.clear();
            let received = self.socket.recv_from(buf).await;
            buf = received.1;
            match received.0 {
                Ok((len, _)) => self.hear(&buf[..len], table),
                Err(e) => {
                    tracing::warn!(error = %e, "receiving a datagram failed");
                    self.clock.sleep(RECEIVE_RETRY).await;
                }
            }
        }
    }

    fn hear(
        &self,
        datagram: &[u8],
        table: &RefCell<MemberTable>,
    ) {
        match postcard::from_bytes(datagram) {
            Ok(Datagram::Announce(announcement)) => {
                self.metrics.announcements.inc();
                table.borrow_mut().hear(self.clock.now(), announcement);
            }
            Err(_) => self.metrics.malformed_datagrams.inc(),
        }
    }
}
