//! The API through which other entries read this entry's state.

use {
    super::admin::ReaderView,
    crate::{
        connection::{HttpRequest, HttpResponse, Problem},
        prelude::*,
        process::{entry::Entry, platform::Offset, settings::PeerSettings},
        version::KeyHash,
    },
};

/// Returns the whole state, or an empty response if the calling entry has read the log as far.
pub(super) fn answer_state(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let peers = entry.settings.peers.as_ref();
    if !peers.is_some_and(|p| has_peer_key(p, req)) {
        return Problem::unauthorized().into();
    }
    let beyond = req.query("beyond").and_then(|v| v.parse().ok());
    let Some(beyond) = beyond.map(Offset) else {
        return Problem::new(400, "beyond", "expected beyond, an offset of the log").into();
    };
    let fold = entry.state.fold();
    if fold.next_offset() <= beyond {
        return HttpResponse::new(204, "application/octet-stream", Bytes::new());
    }
    match fold.to_bytes() {
        Ok(state) => HttpResponse::new(200, "application/octet-stream", state.into()),
        Err(e) => Problem::internal(&e.to_string()).into(),
    }
}

/// Returns the read position of this entry.
pub(super) fn answer_reader(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpResponse {
    let peers = entry.settings.peers.as_ref();
    if peers.is_some_and(|p| has_peer_key(p, req)) {
        HttpResponse::json(200, &ReaderView::of(entry))
    } else {
        Problem::unauthorized().into()
    }
}

/// Returns whether the request bears the key that entries share. Compares hashes, so that the
/// duration of the comparison reveals nothing about the key.
fn has_peer_key(
    peers: &PeerSettings,
    req: &HttpRequest,
) -> bool {
    let key = req.bearer_key().unwrap_or_default();
    KeyHash::of(key).matches(&KeyHash::of(&peers.key))
}
