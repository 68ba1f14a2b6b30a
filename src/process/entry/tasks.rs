//! The tasks that live as long as the entry.

use {
    super::Entry,
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
        process::state::JobEntry,
        request::run_job,
    },
    std::collections::BTreeSet,
};

/// How often guards are looked at for an old document.
const DOCUMENT_PUSH_INTERVAL: Duration = Duration::from_millis(500);

/// Starts a task for each open job that this entry owns, for ever.
pub async fn run_jobs(entry: Rc<Entry>) {
    let mut started = BTreeSet::new();
    loop {
        for job in owned_jobs(&entry) {
            if started.insert((job.spec.id, job.ownership)) {
                let spec = (*job.spec).clone();
                compio::runtime::spawn(run_job(entry.clone(), spec, job.ownership)).detach();
            }
        }
        entry.state.wait_for_change().await;
    }
}

/// Returns the open jobs that this entry owns.
fn owned_jobs(entry: &Entry) -> Vec<JobEntry> {
    let fold = entry.state.fold();
    let owned = fold
        .jobs()
        .filter(|j| j.end.is_none() && j.owner == entry.settings.name);
    owned.cloned().collect()
}

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
