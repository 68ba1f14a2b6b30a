//! The queue of an entry: by class, and fair between accounts within a class.

use {
    crate::{prelude::*, version::Class},
    std::collections::{BTreeMap, VecDeque},
};

/// The most heads of lines that one search tries.
const MAX_HEADS_TRIED: usize = 8;

/// What waits, with what it costs its account.
#[derive(Clone, Debug)]
struct QueuedItem<T> {
    number: u64,
    cost: f64,
    item: T,
}

/// What one account has waiting in one class.
#[derive(Clone, Debug)]
struct AccountQueue<T> {
    /// The cost already served, divided by the account's share.
    start_tag: f64,
    share: f64,
    items: VecDeque<QueuedItem<T>>,
}

/// The lines of one class.
#[derive(Clone, Debug)]
struct ClassQueue<T> {
    accounts: BTreeMap<AccountName, AccountQueue<T>>,
    /// The least `served` of a line that a new line starts from.
    virtual_time: f64,
    /// How often a stronger class went first while something waited here.
    skip_count: u32,
}

/// A queue that serves stronger classes first and, within a class, the account with the least cost
/// served for its share (start-time fair queueing, Goyal et al., 1996). A weaker class goes first
/// after it was passed over a number of times, so that it does not starve.
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

/// Returns how often a class may be passed over before it goes first.
fn max_skips(class: Class) -> u32 {
    match class {
        Class::Urgent => 1,
        Class::Normal => 8,
        Class::Deferrable => 32,
    }
}

impl<T> FairQueue<T> {
    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many of an account wait, in all classes.
    pub fn len_of(
        &self,
        account: &AccountName,
    ) -> usize {
        let lines = self
            .classes
            .values()
            .filter_map(|c| c.accounts.get(account));
        lines.map(|l| l.items.len()).sum()
    }

    /// Returns about how many go before a new arrival of an account.
    pub fn ahead_of(
        &self,
        class: Class,
        account: &AccountName,
        share: u32,
    ) -> f64 {
        let stronger = self.classes.range(..class);
        let stronger: usize = stronger.map(|(_, c)| c.len()).sum();
        let Some(own) = self.classes.get(&class) else {
            return stronger as f64;
        };
        let line = own.accounts.get(account).map_or(0, |l| l.items.len());
        let share = f64::from(share.max(1));
        let others = own.accounts.iter().filter(|(name, _)| *name != account);
        let fair = |l: &AccountQueue<T>| (line as f64 * l.share / share).min(l.items.len() as f64);
        stronger as f64 + line as f64 + others.map(|(_, l)| fair(l)).sum::<f64>()
    }

    /// Adds an item at the end of its account's line, or at the front when it waited before;
    /// returns its number.
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
        let lines = self.classes.entry(class).or_default();
        let floor = lines.virtual_time;
        let line = lines
            .accounts
            .entry(account.clone())
            .or_insert_with(|| AccountQueue {
                start_tag: floor,
                share: 1.0,
                items: VecDeque::new(),
            });
        line.share = f64::from(share.max(1));
        if line.items.is_empty() {
            line.start_tag = line.start_tag.max(floor);
        }
        let queued = QueuedItem { number, cost, item };
        if at_front {
            line.items.push_front(queued);
        } else {
            line.items.push_back(queued);
        }
        number
    }

    /// Removes an item by its number; `false` when it is not there.
    pub fn remove(
        &mut self,
        class: Class,
        account: &AccountName,
        number: u64,
    ) -> bool {
        let lines = self.classes.get_mut(&class);
        let Some(line) = lines.and_then(|c| c.accounts.get_mut(account)) else {
            return false;
        };
        let index = line.items.iter().position(|q| q.number == number);
        let removed = index.and_then(|i| line.items.remove(i)).is_some();
        self.len -= usize::from(removed);
        removed
    }

    /// Takes out the first item for which `accept` returns something. Only a bounded number of
    /// items is tried.
    pub fn pop<D, F>(
        &mut self,
        mut accept: F,
    ) -> Option<(T, D)>
    where
        F: FnMut(&T) -> Option<D>,
    {
        let mut tries = MAX_HEADS_TRIED;
        for class in self.class_order() {
            let lines = self.classes.get_mut(&class)?;
            if let Some(taken) = lines.pop(&mut tries, &mut accept) {
                self.len -= 1;
                self.update_skip_counts(class);
                return Some(taken);
            }
            if tries == 0 {
                return None;
            }
        }
        None
    }

    /// Returns the classes in which something waits, in the order of their turn.
    fn class_order(&self) -> Vec<Class> {
        let waiting = self.classes.iter().filter(|(_, c)| c.len() > 0);
        let mut order: Vec<(bool, Class)> = waiting
            .map(|(class, c)| (c.skip_count < max_skips(*class), *class))
            .collect();
        order.sort();
        order.into_iter().map(|(_, class)| class).collect()
    }

    /// Counts the weaker classes as passed over, and the served one not any more.
    fn update_skip_counts(
        &mut self,
        served: Class,
    ) {
        for (class, lines) in &mut self.classes {
            if *class == served {
                lines.skip_count = 0;
            } else if *class > served && lines.len() > 0 {
                lines.skip_count += 1;
            }
        }
    }
}

impl<T> ClassQueue<T> {
    fn len(&self) -> usize {
        self.accounts.values().map(|l| l.items.len()).sum()
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
            let line = self.accounts.get_mut(&account)?;
            let head = line.items.front()?;
            let Some(decision) = accept(&head.item) else {
                *tries -= 1;
                continue;
            };
            let queued = line.items.pop_front()?;
            self.virtual_time = self.virtual_time.max(line.start_tag);
            line.start_tag += queued.cost / line.share;
            return Some((queued.item, decision));
        }
        None
    }

    fn account_order(&self) -> Vec<AccountName> {
        let waiting = self.accounts.iter().filter(|(_, l)| !l.items.is_empty());
        let mut order: Vec<(f64, &AccountName)> = waiting.map(|(a, l)| (l.start_tag, a)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|(_, a)| a.clone()).collect()
    }
}
