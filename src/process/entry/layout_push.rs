//! Brings guards to the layout in force.

use {
    super::{Entry, ShareIndex},
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
        process::{clock::with_timeout, membership::Announcement},
    },
    futures_util::future::join_all,
};

/// How often guards are looked at for other shares than those in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The longest time that a guard may take.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer an entry leaves guards to others for each live entry before it.
const STEP_DELAY: Duration = Duration::from_secs(2);

/// The layout in force, by worker.
#[derive(Default)]
struct InForce {
    number: u64,
    shares: ShareIndex,
}

/// Sends guards the shares of the layout in force when they announce others, for ever. The live
/// entry with the lowest name does so at once, and others step in when it has not.
pub async fn push_layouts(entry: Rc<Entry>) {
    let mut in_force = InForce::default();
    let mut lagging_since: Option<Millis> = None;
    loop {
        let changed = entry.state.change_listener();
        let now = entry.clock.now();
        in_force.update(&entry);
        let lagging = in_force.lagging(&entry);
        lagging_since = match lagging.is_empty() {
            true => None,
            false => lagging_since.or(Some(now)),
        };
        let delay = STEP_DELAY * entries_before(&entry);
        if lagging_since.is_some_and(|since| now.since(since) >= delay) {
            let pushes = lagging.iter().map(|u| in_force.push(&entry, u));
            join_all(pushes).await;
        }
        with_timeout(&*entry.clock, LOOK_INTERVAL, changed).await;
    }
}

impl InForce {
    fn update(
        &mut self,
        entry: &Entry,
    ) {
        let fold = entry.state.fold();
        let layouts = fold.layouts();
        if layouts.number() != self.number {
            self.number = layouts.number();
            self.shares = ShareIndex::of(layouts.layout());
        }
    }

    /// Returns the live upstreams whose guards announce other shares.
    fn lagging(
        &self,
        entry: &Entry,
    ) -> Vec<Rc<Announcement>> {
        let mut live = entry.members.borrow().live(entry.clock.now());
        live.retain(|u| self.number > 0 && !self.shares.is_announced(u));
        live
    }

    async fn push(
        &self,
        entry: &Entry,
        upstream: &Announcement,
    ) {
        let Some(peer) = entry.peer_of(&upstream.upstream) else {
            return;
        };
        let req = GuardRequest::Layout {
            number: self.number,
            guaranteed: self.shares.on(&upstream.upstream).to_vec(),
        };
        match with_timeout(&*entry.clock, PUSH_TIMEOUT, peer.call(req)).await {
            Some(Ok(GuardReply::Done)) => {}
            other => {
                let upstream = &upstream.upstream;
                tracing::warn!(%upstream, ?other, "a guard did not take the layout");
            }
        }
    }
}

/// Returns how many live entries come before this one.
fn entries_before(entry: &Entry) -> u32 {
    let live = entry.live_entries();
    let before = live.iter().filter(|name| **name < entry.settings.name);
    before.count() as u32
}
