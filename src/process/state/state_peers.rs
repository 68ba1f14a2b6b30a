//! The way to the state of other entries.

use {
    crate::{
        connection::HttpClient,
        prelude::*,
        process::{platform::Offset, settings::PeerSettings},
    },
    std::cell::Cell,
};

/// The longest time that a peer may take to send its state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Where a reader gets the state of its peers when the log does not give it.
pub trait StatePeers {
    /// Returns the encoded state of a peer that has read beyond an offset; `None` when no peer
    /// gave one.
    fn fetch(
        &self,
        beyond: Offset,
    ) -> LocalBoxFuture<'_, Option<Bytes>>;
}

/// No peers.
#[derive(Debug, Default)]
pub struct NoPeers;

impl StatePeers for NoPeers {
    fn fetch(
        &self,
        _beyond: Offset,
    ) -> LocalBoxFuture<'_, Option<Bytes>> {
        Box::pin(async { None })
    }
}

/// Other entries, asked over HTTP in turn.
pub struct HttpPeers {
    client: HttpClient,
    settings: PeerSettings,
    next_peer: Cell<usize>,
}

impl HttpPeers {
    /// Creates the way to the entries that the settings name.
    pub fn new(
        client: HttpClient,
        settings: PeerSettings,
    ) -> Self {
        Self {
            client,
            settings,
            next_peer: Cell::new(0),
        }
    }

    async fn fetch_any(
        &self,
        beyond: Offset,
    ) -> Option<Bytes> {
        let addresses = self.settings.addresses.borrow().clone();
        for _ in 0..addresses.len() {
            let turn = self.next_peer.get();
            self.next_peer.set(turn.wrapping_add(1));
            let address = addresses[turn % addresses.len()];
            if let Some(state) = self.fetch_from(address, beyond).await {
                return Some(state);
            }
        }
        None
    }

    async fn fetch_from(
        &self,
        address: SocketAddr,
        beyond: Offset,
    ) -> Option<Bytes> {
        let url = format!("http://{address}/v1/state?beyond={beyond}");
        let bearer = format!("Bearer {}", self.settings.key);
        let headers = [("authorization", bearer.as_str())];
        let call = self.client.call(
            hyper::Method::GET,
            &url,
            &headers,
            Bytes::new(),
            FETCH_TIMEOUT,
        );
        let answer = call.await.ok()?;
        (answer.status == 200).then_some(answer.body)
    }
}

impl StatePeers for HttpPeers {
    fn fetch(
        &self,
        beyond: Offset,
    ) -> LocalBoxFuture<'_, Option<Bytes>> {
        Box::pin(self.fetch_any(beyond))
    }
}
