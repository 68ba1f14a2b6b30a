//! Counts the traffic of a datagram socket.

use {
    crate::{
        prelude::*,
        process::membership::{DatagramLink, ReceivedDatagram},
    },
    std::cell::Cell,
};

/// The size of a datagram's UDP and IPv4 headers, in bytes.
const UDP_IP_HEADER_BYTES: u64 = 28;

/// Counts the datagrams of any number of sockets, and their bytes with headers.
#[derive(Debug, Default)]
pub(super) struct TrafficCounter {
    pub(super) bytes: Cell<u64>,
    pub(super) datagrams: Cell<u64>,
}

impl TrafficCounter {
    fn record_datagram(
        &self,
        content_bytes: usize,
    ) {
        self.bytes
            .set(self.bytes.get() + content_bytes as u64 + UDP_IP_HEADER_BYTES);
        self.datagrams.set(self.datagrams.get() + 1);
    }
}

/// A datagram socket that counts what it sends and receives.
pub(super) struct CountingLink<L> {
    link: L,
    traffic: Rc<TrafficCounter>,
}

impl<L> CountingLink<L> {
    /// Wraps a socket, whose traffic is added to `traffic`.
    pub(super) fn new(
        link: L,
        traffic: Rc<TrafficCounter>,
    ) -> Self {
        Self { link, traffic }
    }
}

impl<L> DatagramLink for CountingLink<L>
where
    L: DatagramLink,
{
    fn address(&self) -> SocketAddr {
        self.link.address()
    }

    fn send(
        &self,
        to: SocketAddr,
        content: Vec<u8>,
    ) -> LocalBoxFuture<'_, ()> {
        self.traffic.record_datagram(content.len());
        self.link.send(to, content)
    }

    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram> {
        Box::pin(async {
            let received = self.link.receive().await;
            self.traffic.record_datagram(received.content.len());
            received
        })
    }
}
