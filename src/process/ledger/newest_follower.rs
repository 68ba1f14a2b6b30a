//! Follows the newest record of each key of a topic.

use {
    super::{KeyedPage, KeyedStore, NewestList, ReadRange, StoreError},
    crate::{connection::Transfer, prelude::*},
};

/// How long one read waits for a new record.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// The size limit of a read that is not to return more than one record, in bytes.
const ONE_RECORD: u64 = 1;

/// What is read next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NextRead {
    /// The newest record of each key. They replace the records from `skipped_from` on, which have not
    /// been read.
    Newest { skipped_from: Option<u64> },
    /// The first record from this offset on.
    One(u64),
    /// The records from this offset on.
    All(u64),
}

/// The place of a follower in a topic of which only the newest record of each key counts. Records are
/// read one at a time, and once there are more, the newest ones replace those in between: they may be
/// written faster than the link carries them all.
#[derive(Debug)]
pub struct NewestFollower {
    topic: &'static str,
    next: NextRead,
    list: NewestList,
    wait: Duration,
    /// When the read of the last page was sent; for a list, that of its first page.
    sent_at: Millis,
}

impl NewestFollower {
    /// Creates a follower that has read nothing.
    pub fn new(topic: &'static str) -> Self {
        Self {
            topic,
            next: NextRead::Newest { skipped_from: None },
            list: NewestList::default(),
            wait: LONG_POLL_WAIT,
            sent_at: Millis::default(),
        }
    }

    /// Returns whether the next page is a list that replaces everything before it.
    pub fn is_listing(&self) -> bool {
        matches!(self.next, NextRead::Newest { .. })
    }

    /// Reads the next page.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the store gives no result in time.
    pub async fn read(
        &mut self,
        store: &dyn KeyedStore,
        clock: &dyn Clock,
    ) -> Result<KeyedPage, StoreError> {
        if !self.list.is_begun() {
            self.sent_at = clock.now();
        }
        let (from, max_bytes) = match self.next {
            NextRead::Newest { .. } => return self.list.read_on(store, self.topic).await,
            NextRead::One(from) => (from, Some(ONE_RECORD)),
            NextRead::All(from) => (from, None),
        };
        let range = ReadRange {
            topic: self.topic,
            from,
            wait: self.wait,
            max_bytes,
        };
        store.read_page(range, &Transfer::default()).await
    }

    /// Goes on after a page. `is_newest_valid` says whether the newest record of each key in it can be
    /// used; if not, the records that a list has replaced are read, of which the last valid one counts.
    /// Returns since when everything stored is known, if the page shows that.
    pub fn advance(
        &mut self,
        page: &KeyedPage,
        is_newest_valid: bool,
    ) -> Option<Millis> {
        let end = page.end;
        let (next, is_current) = match self.next {
            NextRead::Newest {
                skipped_from: Some(from),
            } if !is_newest_valid => (NextRead::All(from), false),
            NextRead::Newest { .. } => (NextRead::One(end), true),
            NextRead::One(_) if page.has_more => {
                let skipped_from = Some(end);
                (NextRead::Newest { skipped_from }, false)
            }
            // The page of an entry of an earlier version does not show whether the topic goes on, an
            // empty one does.
            NextRead::One(from) => (NextRead::One(end), from == end),
            NextRead::All(from) if from == end => (NextRead::One(end), true),
            NextRead::All(_) => (NextRead::All(end), false),
        };
        self.next = next;
        // A read without a wait soon shows that the view is current.
        self.wait = if is_current {
            LONG_POLL_WAIT
        } else {
            Duration::ZERO
        };
        is_current.then_some(self.sent_at)
    }

    /// Goes on after a failed read. What has been trimmed is replaced by the list; a retry does not wait
    /// for a record, because the age of the view counts from the time at which an answered read was sent.
    pub fn recover(
        &mut self,
        error: &StoreError,
    ) {
        if *error == StoreError::Trimmed {
            self.next = NextRead::Newest { skipped_from: None };
        }
        self.wait = Duration::ZERO;
    }
}
