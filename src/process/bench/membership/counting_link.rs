//! A socket that counts what passes.

use {
    crate::{
        prelude::*,
        process::membership::{DatagramLink, ReceivedDatagram},
    },
    std::cell::Cell,
};

/// The bytes of the UDP and IP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Counts the datagrams of any number of sockets.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    pub(super) bytes: Cell<u64>,
    pub(super) datagrams: Cell<u64>,
}

impl Traffic {
    fn count(
        &self,
        content: usize,
    ) {
        self.bytes
            .set(self.bytes.get() + content as u64 + HEADER_BYTES);
        self.datagrams.set(self.datagrams.get() + 1);
    }
}

/// A socket whose datagrams are counted, sent and received.
pub(super) struct CountingLink<L> {
    link: L,
    traffic: Rc<Traffic>,
}

impl<L> CountingLink<L> {
    /// Wraps a socket.
    pub(super) fn new(
        link: L,
        traffic: Rc<Traffic>,
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
        self.traffic.count(content.len());
        self.link.send(to, content)
    }

    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram> {
        Box::pin(async {
            let received = self.link.receive().await;
            self.traffic.count(received.content.len());
            received
        })
    }
}
