//! Sends guards their shares of the layout in force.

use {
    super::{Entry, ShareIndex},
    crate::{
        connection::{GuardReply, GuardRequest},
        prelude::*,
        process::{clock::with_timeout, membership::Announcement},
    },
    futures_util::future::join_all,
};

/// The interval between checks for guards with outdated shares.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The time within which a guard has to answer.
const PUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// How much longer each entry waits than the entry of the next lower rank before it sends outdated
/// guards their shares.
const DELAY_PER_RANK: Duration = Duration::from_secs(2);

/// The layout in force, indexed by worker.
#[derive(Default)]
struct CurrentLayout {
    number: u64,
    shares: ShareIndex,
}

/// Sends the shares of the layout in force to guards that announce different ones; never returns.
/// The live entry with the lowest name does so at once; others follow when guards stay outdated.
pub async fn push_layouts(entry: Rc<Entry>) {
    let mut current = CurrentLayout::default();
    let mut lagging_since: Option<Millis> = None;
    loop {
        let changed = entry.state.change_listener();
        let now = entry.clock.now();
        current.update(&entry);
        let lagging = current.lagging(&entry);
        lagging_since = match lagging.is_empty() {
            true => None,
            false => lagging_since.or(Some(now)),
        };
        let delay = DELAY_PER_RANK * push_rank(&entry);
        if lagging_since.is_some_and(|since| now.since(since) >= delay) {
            let pushes = lagging.iter().map(|u| current.push(&entry, u));
            join_all(pushes).await;
        }
        with_timeout(&*entry.clock, CHECK_INTERVAL, changed).await;
    }
}

impl CurrentLayout {
    fn update(
        &mut self,
        entry: &Entry,
    ) {
        let fold = entry.state.fold();
        let layouts = fold.layouts();
        if layouts.number() != self.number {
            self.number = layouts.number();
            self.shares = ShareIndex::from_layout(layouts.layout());
        }
    }

    /// Returns the live upstreams whose guards announce different shares.
    fn lagging(
        &self,
        entry: &Entry,
    ) -> Vec<Rc<Announcement>> {
        let mut live = entry.members.borrow().live(entry.clock.now());
        live.retain(|u| self.number > 0 && !self.shares.matches_announcement(u));
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
            guaranteed: self.shares.shares_on(&upstream.upstream).to_vec(),
        };
        match with_timeout(&*entry.clock, PUSH_TIMEOUT, peer.call(req)).await {
            Some(Ok(GuardReply::Done)) => {}
            other => {
                let upstream = &upstream.upstream;
                tracing::warn!(%upstream, ?other, "failed to send the layout to a guard");
            }
        }
    }
}

/// Returns the number of live entries whose name sorts before this entry's.
fn push_rank(entry: &Entry) -> u32 {
    let live = entry.live_entry_names();
    let before = live.iter().filter(|name| **name < entry.settings.name);
    before.count() as u32
}
