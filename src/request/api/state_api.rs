//! The state, for other entries.

use {
    super::admin::ReaderView,
    crate::{
        connection::{HttpReply, HttpRequest, Problem},
        prelude::*,
        process::{entry::Entry, platform::Offset, settings::PeerSettings},
        version::KeyHash,
    },
};

/// Answers another entry with the whole state, or with nothing when that entry has read as far.
pub(super) fn answer_state(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpReply {
    let peers = entry.settings.peers.as_ref();
    if !peers.is_some_and(|p| shows_key(p, req)) {
        return Problem::unauthorized().into();
    }
    let beyond = req.query("beyond").and_then(|v| v.parse().ok());
    let Some(beyond) = beyond.map(Offset) else {
        return Problem::new(400, "beyond", "expected beyond, an offset of the log").into();
    };
    let fold = entry.state.fold();
    if fold.next_offset() <= beyond {
        return HttpReply::new(204, "application/octet-stream", Bytes::new());
    }
    match fold.to_bytes() {
        Ok(state) => HttpReply::new(200, "application/octet-stream", state.into()),
        Err(e) => Problem::internal(&e.to_string()).into(),
    }
}

/// Answers another entry with how far this one has read.
pub(super) fn answer_reader(
    entry: &Entry,
    req: &HttpRequest,
) -> HttpReply {
    let peers = entry.settings.peers.as_ref();
    if peers.is_some_and(|p| shows_key(p, req)) {
        HttpReply::json(200, &ReaderView::of(entry))
    } else {
        Problem::unauthorized().into()
    }
}

/// Tells whether the request shows the key that entries share. Hashes are compared, so that the
/// time of the comparison tells nothing.
fn shows_key(
    peers: &PeerSettings,
    req: &HttpRequest,
) -> bool {
    let shown = req.bearer_key().unwrap_or_default();
    KeyHash::of(shown).matches(&KeyHash::of(&peers.key))
}
