//! Reads the list of the newest records of a topic, which may be longer than one answer.

use {
    super::{KeyedPage, KeyedRecord, KeyedStore, StoreError},
    crate::{connection::Transfer, prelude::*},
};

/// The part of a list that has been read. It outlives a failed read, so that the next one goes on
/// with the page that is missing; a list that started over after each failure would never end on a
/// path that breaks more often than the whole of it takes.
#[derive(Debug, Default)]
pub struct NewestList {
    records: Vec<KeyedRecord>,
    /// The key of the last record.
    after: Option<Arc<str>>,
    /// Where the topic ended before the first page was read.
    end: Option<u64>,
}

impl NewestList {
    /// Returns whether a page has been read.
    pub fn is_begun(&self) -> bool {
        self.end.is_some()
    }

    /// Reads the rest of the list and returns the whole of it, in the order of the offsets. Its end is
    /// that of the first page, because records may be stored between two pages. The next list starts
    /// over.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if a page cannot be read. What has been read before is kept.
    pub async fn read_on<S>(
        &mut self,
        store: &S,
        topic: &str,
    ) -> Result<KeyedPage, StoreError>
    where
        S: KeyedStore + ?Sized,
    {
        loop {
            let after = self.after.clone();
            let page = store
                .newest_page(topic, after.as_deref(), &Transfer::default())
                .await?;
            let end = *self.end.get_or_insert(page.end);
            let last = page.records.last().map(|r| r.key.clone());
            self.records.extend(page.records);
            if !page.has_more {
                let mut records = std::mem::take(self).records;
                records.sort_by_key(|r| r.offset);
                return Ok(KeyedPage {
                    records,
                    end,
                    has_more: false,
                });
            }
            if last.is_none() {
                let why = "a page without records has more records after it";
                return Err(StoreError::Malformed(why.to_owned()));
            }
            self.after = last;
        }
    }
}
