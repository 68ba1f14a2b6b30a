//! The tasks that live as long as the entry.

use {
    super::Entry,
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
    },
};

/// How often guards are looked at for an old document.
const DOCUMENT_PUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Sends the document in force to each guard that announces an older version, for ever.
pub async fn push_documents(entry: Rc<Entry>) {
    loop {
        let version = entry.state.fold().version();
        let upstreams = entry.members.borrow().live(entry.clock.now());
        for upstream in upstreams.iter().filter(|u| u.version < version) {
            push_document(&entry, upstream.guard_address, version).await;
        }
        entry.metrics.document_version.set(version.0 as i64);
        entry.clock.sleep(DOCUMENT_PUSH_INTERVAL).await;
    }
}

async fn push_document(
    entry: &Entry,
    guard: SocketAddr,
    version: VersionNumber,
) {
    let text = entry.document().text.clone();
    let call = GuardRequest::Document { version, text };
    match entry.dialer.peer(guard).call(call).await {
        Ok(GuardReply::Done) => {}
        other => tracing::warn!(%guard, ?other, "a guard did not take the document"),
    }
}
