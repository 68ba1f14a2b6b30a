//! Access to the state of other entries.

use {
    crate::{
        connection::HttpClient,
        prelude::*,
        process::{platform::Offset, settings::PeerSettings},
    },
    std::cell::Cell,
};

/// How long a peer may take to send its state.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Source of the state of other entries, used when the log cannot provide it.
pub trait StatePeers {
    /// Returns the encoded state of a peer that has read beyond an offset, or `None` if no peer
    /// provides one.
    fn fetch(
        &self,
        beyond: Offset,
    ) -> LocalBoxFuture<'_, Option<Bytes>>;
}

/// [`StatePeers`] of an entry without peers.
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

/// Other entries, called over HTTP in rotation.
pub struct HttpPeers {
    client: HttpClient,
    settings: PeerSettings,
    next_peer: Cell<usize>,
}

impl HttpPeers {
    /// Creates a client of the entries named by the settings.
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
            let index = self.next_peer.get();
            self.next_peer.set(index.wrapping_add(1));
            let address = addresses[index % addresses.len()];
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
