//! The read position of each entry on the log.

use {
    super::page::answer_page,
    crate::{
        connection::{HttpClient, HttpRequest, HttpResponse},
        prelude::*,
        process::{entry::Entry, platform::Offset, settings::PeerSettings, state::LogCondition},
    },
    futures_util::future::join_all,
    serde::{Deserialize, Serialize},
};

/// The timeout for a call to another entry.
const READER_TIMEOUT: Duration = Duration::from_secs(2);

/// The JSON representation of one entry's read position.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ReaderView {
    entry: EntryName,
    condition: LogCondition,
    next: Offset,
    version: VersionNumber,
}

impl ReaderView {
    /// Returns the read position of this entry.
    pub(crate) fn of(entry: &Entry) -> Self {
        let fold = entry.state.fold();
        Self {
            entry: entry.settings.name.clone(),
            condition: entry.state.log_view().condition,
            next: fold.next_offset(),
            version: fold.version(),
        }
    }
}

/// Lists the read positions of this entry and of the peers in its settings; a peer that does not
/// answer is omitted.
pub(super) async fn list_readers(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let mut readers = vec![ReaderView::of(entry)];
    if let Some(peers) = &entry.settings.peers {
        let client = HttpClient::new(entry.clock.clone());
        let addresses = peers.addresses.borrow().clone();
        let calls = addresses.iter().map(|a| fetch_reader(&client, peers, *a));
        readers.extend(join_all(calls).await.into_iter().flatten());
    }
    readers.sort_by(|a, b| a.entry.cmp(&b.entry));
    readers.dedup_by(|a, b| a.entry == b.entry);
    answer_page(req, readers, |r: &ReaderView| r.entry.to_string())
}

async fn fetch_reader(
    client: &HttpClient,
    peers: &PeerSettings,
    address: SocketAddr,
) -> Option<ReaderView> {
    let url = format!("http://{address}/v1/state/reader");
    let bearer = format!("Bearer {}", peers.key);
    let headers = [("authorization", bearer.as_str())];
    let call = client.call(
        hyper::Method::GET,
        &url,
        &headers,
        Bytes::new(),
        READER_TIMEOUT,
    );
    serde_json::from_slice(&call.await.ok()?.body).ok()
}
