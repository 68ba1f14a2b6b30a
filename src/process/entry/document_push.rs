//! Tells guards the document version in force.

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

/// How often guards are looked at for an old version when the state does not change.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// The most guards that are told at once.
const PARALLEL_PUSHES: usize = 16;

/// The longest time that a guard may take.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer an entry leaves a guard to others for each step that it is further from it.
const STEP_DELAY: Duration = Duration::from_secs(2);

/// Since when guards have had an older version than the one in force.
type Lagging = BTreeMap<UpstreamName, Millis>;

/// Tells the version in force to guards that announce an older one, for ever. The primary
/// watcher does so at once, and others step in when it has not.
pub async fn push_documents(
    entry: Rc<Entry>,
    membership: Rc<Membership>,
) {
    let mut lagging = Lagging::new();
    loop {
        let changed = entry.state.change_listener();
        let version = entry.state.fold().version();
        entry.metrics.document_version.set(version.0 as i64);
        let due = due_upstreams(&entry, &membership, version, &mut lagging);
        let pushes = due.iter().map(|u| push_document(&entry, u, version));
        let pushing = stream::iter(pushes).buffer_unordered(PARALLEL_PUSHES);
        pushing.collect::<Vec<()>>().await;
        with_timeout(&*entry.clock, LOOK_INTERVAL, changed).await;
    }
}

/// Returns the upstreams whose guard this entry has to tell now.
fn due_upstreams(
    entry: &Entry,
    membership: &Membership,
    version: VersionNumber,
    lagging: &mut Lagging,
) -> Vec<Rc<Announcement>> {
    let now = entry.clock.now();
    let mut old = entry.members.borrow().live(now);
    old.retain(|u| u.version < version);
    lagging.retain(|name, _| old.iter().any(|u| u.upstream == *name));
    old.retain(|u| {
        let since = *lagging.entry(u.upstream.clone()).or_insert(now);
        let delay = STEP_DELAY * steps_to(entry, membership, u);
        now.since(since) >= delay
    });
    old
}

/// Returns how far an entry is from a guard: 0 as its primary watcher.
fn steps_to(
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
            tracing::warn!(upstream = %upstream.upstream, ?other, "a guard did not take the version");
        }
    }
}
