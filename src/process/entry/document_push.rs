//! Notifies guards of the document version in force.

use {
    super::Entry,
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
        process::{
            clock::with_timeout,
            membership::{Announcement, Membership},
        },
    },
    futures_util::{StreamExt, stream},
    std::collections::BTreeMap,
};

/// The interval between checks for outdated guards while the state does not change.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

const MAX_CONCURRENT_PUSHES: usize = 16;

/// The time within which a guard has to answer.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer each entry waits than an entry of the next lower rank before it notifies an
/// outdated guard.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);

/// When each outdated guard was first seen with an older version than the one in force.
type LaggingSince = BTreeMap<UpstreamName, Millis>;

/// Sends the version in force to guards that announce an older one; never returns. The primary
/// watcher does so at once; other entries follow when a guard stays outdated.
pub async fn push_documents(
    entry: Rc<Entry>,
    membership: Rc<Membership>,
) {
    let mut lagging_since = LaggingSince::new();
    loop {
        let changed = entry.state.change_listener();
        let version = entry.state.fold().version();
        entry.metrics.document_version.set(version.0 as i64);
        let due = due_upstreams(&entry, &membership, version, &mut lagging_since);
        let pushes = due.iter().map(|u| push_document(&entry, u, version));
        let pushing = stream::iter(pushes).buffer_unordered(MAX_CONCURRENT_PUSHES);
        pushing.collect::<Vec<()>>().await;
        with_timeout(&*entry.clock, CHECK_INTERVAL, changed).await;
    }
}

/// Returns the outdated upstreams whose guard this entry has to notify now.
fn due_upstreams(
    entry: &Entry,
    membership: &Membership,
    version: VersionNumber,
    lagging_since: &mut LaggingSince,
) -> Vec<Rc<Announcement>> {
    let now = entry.clock.now();
    let mut outdated = entry.members.borrow().live(now);
    outdated.retain(|u| u.version < version);
    lagging_since.retain(|name, _| outdated.iter().any(|u| u.upstream == *name));
    outdated.retain(|u| {
        let since = *lagging_since.entry(u.upstream.clone()).or_insert(now);
        let delay = DELAY_PER_RANK * push_rank(entry, membership, u);
        now.since(since) >= delay
    });
    outdated
}

/// Returns the rank of an entry among those that may notify a guard: 0 for the primary watcher,
/// the highest for entries of other regions.
fn push_rank(
    entry: &Entry,
    membership: &Membership,
    upstream: &Announcement,
) -> u32 {
    if membership.is_watching(&upstream.upstream) {
        0
    } else if membership.receives_announcements_of(&upstream.upstream) {
        1
    } else if upstream.region == entry.settings.region {
        2
    } else {
        4
    }
}

async fn push_document(
    entry: &Entry,
    upstream: &Announcement,
    version: VersionNumber,
) {
    let Some(peer) = entry.peer_of(&upstream.upstream) else {
        return;
    };
    let call = peer.call(GuardRequest::Document { version });
    match with_timeout(&*entry.clock, PUSH_TIMEOUT, call).await {
        Some(Ok(GuardReply::Done)) => {}
        other => {
            tracing::warn!(
                upstream = %upstream.upstream,
                ?other,
                "failed to send the document version to a guard"
            );
        }
    }
}
