//! The queue of an entry: ordered by class, and fair between accounts within a class.

use {
    crate::{prelude::*, version::Class},
    std::collections::{BTreeMap, VecDeque},
};

/// Largest number of queue heads that one search tries.
const MAX_HEADS_TRIED: usize = 8;

/// An item with the cost that its account is charged for it.
#[derive(Clone, Debug)]
struct QueuedItem<T> {
    number: u64,
    cost: f64,
    item: T,
}

/// The queued items of one account in one class.
#[derive(Clone, Debug)]
struct AccountQueue<T> {
    /// Start tag of the next item: the account's served cost divided by its share.
    start_tag: f64,
    share: f64,
    items: VecDeque<QueuedItem<T>>,
}

/// The queued items of one class.
#[derive(Clone, Debug)]
struct ClassQueue<T> {
    accounts: BTreeMap<AccountName, AccountQueue<T>>,
    /// Largest start tag served so far; the queue of an account that was idle starts from it.
    virtual_time: f64,
    /// Number of times that a higher class was served while this one had queued items.
    skip_count: u32,
}

/// A queue that serves higher classes first and, within a class, the account with the least cost
/// served for its share (start-time fair queueing, Goyal et al., 1996). A lower class goes first
/// after it was skipped a number of times, so that it does not starve.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<Class, ClassQueue<T>>,
    next_number: u64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            classes: BTreeMap::new(),
            next_number: 0,
            len: 0,
        }
    }
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            virtual_time: 0.0,
            skip_count: 0,
        }
    }
}

/// Returns how often a class may be skipped before it goes first.
fn max_skips(class: Class) -> u32 {
    match class {
        Class::Urgent => 1,
        Class::Normal => 8,
        Class::Deferrable => 32,
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of an account's queued items in all classes.
    pub fn len_of(
        &self,
        account: &AccountName,
    ) -> usize {
        let queues = self
            .classes
            .values()
            .filter_map(|c| c.accounts.get(account));
        queues.map(|q| q.items.len()).sum()
    }

    /// Estimates how many items are served before a new item of an account.
    pub fn ahead_of(
        &self,
        class: Class,
        account: &AccountName,
        share: u32,
    ) -> f64 {
        let higher = self.classes.range(..class);
        let higher: usize = higher.map(|(_, c)| c.len()).sum();
        let Some(own) = self.classes.get(&class) else {
            return higher as f64;
        };
        let own_len = own.accounts.get(account).map_or(0, |q| q.items.len());
        let share = f64::from(share.max(1));
        let others = own.accounts.iter().filter(|(name, _)| *name != account);
        let items_ahead =
            |q: &AccountQueue<T>| (own_len as f64 * q.share / share).min(q.items.len() as f64);
        higher as f64 + own_len as f64 + others.map(|(_, q)| items_ahead(q)).sum::<f64>()
    }

    /// Adds an item at the end of its account's queue, or at its front if `at_front`; returns the
    /// item's number.
    pub fn push(
        &mut self,
        class: Class,
        account: &AccountName,
        share: u32,
        cost: f64,
        at_front: bool,
        item: T,
    ) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.len += 1;
        let class_queue = self.classes.entry(class).or_default();
        let virtual_time = class_queue.virtual_time;
        let account_queue = class_queue
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountQueue {
                start_tag: virtual_time,
                share: 1.0,
                items: VecDeque::new(),
            });
        account_queue.share = f64::from(share.max(1));
        if account_queue.items.is_empty() {
            account_queue.start_tag = account_queue.start_tag.max(virtual_time);
        }
        let queued = QueuedItem { number, cost, item };
        if at_front {
            account_queue.items.push_front(queued);
        } else {
            account_queue.items.push_back(queued);
        }
        number
    }

    /// Removes an item by its number; returns `false` if it is not queued.
    pub fn remove(
        &mut self,
        class: Class,
        account: &AccountName,
        number: u64,
    ) -> bool {
        let class_queue = self.classes.get_mut(&class);
        let Some(account_queue) = class_queue.and_then(|c| c.accounts.get_mut(account)) else {
            return false;
        };
        let index = account_queue.items.iter().position(|q| q.number == number);
        let removed = index.and_then(|i| account_queue.items.remove(i)).is_some();
        self.len -= usize::from(removed);
        removed
    }

    /// Removes the first item for which `accept` returns a value, and returns both. Tries only a
    /// bounded number of items.
    pub fn pop<D, F>(
        &mut self,
        mut accept: F,
    ) -> Option<(T, D)>
    where
        F: FnMut(&T) -> Option<D>,
    {
        let mut tries = MAX_HEADS_TRIED;
        for class in self.class_order() {
            let class_queue = self.classes.get_mut(&class)?;
            if let Some(popped) = class_queue.pop(&mut tries, &mut accept) {
                self.len -= 1;
                self.update_skip_counts(class);
                return Some(popped);
            }
            if tries == 0 {
                return None;
            }
        }
        None
    }

    /// Returns the classes with queued items, in the order in which they are served.
    fn class_order(&self) -> Vec<Class> {
        let non_empty = self.classes.iter().filter(|(_, c)| c.len() > 0);
        let mut order: Vec<(bool, Class)> = non_empty
            .map(|(class, c)| (c.skip_count < max_skips(*class), *class))
            .collect();
        order.sort();
        order.into_iter().map(|(_, class)| class).collect()
    }

    /// Increments the skip count of lower classes with queued items, and resets that of the served
    /// class.
    fn update_skip_counts(
        &mut self,
        served: Class,
    ) {
        for (class, class_queue) in &mut self.classes {
            if *class == served {
                class_queue.skip_count = 0;
            } else if *class > served && class_queue.len() > 0 {
                class_queue.skip_count += 1;
            }
        }
    }
}

impl<T> ClassQueue<T> {
    fn len(&self) -> usize {
        self.accounts.values().map(|q| q.items.len()).sum()
    }

    fn pop<D, F>(
        &mut self,
        tries: &mut usize,
        accept: &mut F,
    ) -> Option<(T, D)>
    where
        F: FnMut(&T) -> Option<D>,
    {
        for account in self.account_order() {
            if *tries == 0 {
                return None;
            }
            let account_queue = self.accounts.get_mut(&account)?;
            let head = account_queue.items.front()?;
            let Some(decision) = accept(&head.item) else {
                *tries -= 1;
                continue;
            };
            let queued = account_queue.items.pop_front()?;
            self.virtual_time = self.virtual_time.max(account_queue.start_tag);
            account_queue.start_tag += queued.cost / account_queue.share;
            return Some((queued.item, decision));
        }
        None
    }

    fn account_order(&self) -> Vec<AccountName> {
        let non_empty = self.accounts.iter().filter(|(_, q)| !q.items.is_empty());
        let mut order: Vec<(f64, &AccountName)> =
            non_empty.map(|(a, q)| (q.start_tag, a)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|(_, a)| a.clone()).collect()
    }
}
