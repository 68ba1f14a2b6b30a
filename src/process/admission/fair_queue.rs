//! The queue of an entry: by class, and fair between accounts within a class.

use {
    crate::{prelude::*, version::Class},
    std::collections::{BTreeMap, VecDeque},
};

/// The most heads of lines that one search tries.
const MAX_TRIES: usize = 8;

/// What waits, with what it costs its account.
#[derive(Clone, Debug)]
struct Queued<T> {
    number: u64,
    cost: f64,
    item: T,
}

/// What one account has waiting in one class.
#[derive(Clone, Debug)]
struct Line<T> {
    /// The cost already served, divided by the account's share.
    served: f64,
    share: f64,
    waiting: VecDeque<Queued<T>>,
}

/// The lines of one class.
#[derive(Clone, Debug)]
struct ClassLines<T> {
    lines: BTreeMap<AccountName, Line<T>>,
    /// The least `served` of a line that a new line starts from.
    floor: f64,
    /// How often a stronger class went first while something waited here.
    passed_over: u32,
}

/// A queue that serves stronger classes first and, within a class, the account with the least cost
/// served for its share (start-time fair queueing, Goyal et al., 1996). A weaker class goes first
/// after it was passed over a number of times, so that it does not starve.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    classes: BTreeMap<Class, ClassLines<T>>,
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

impl<T> Default for ClassLines<T> {
    fn default() -> Self {
        Self {
            lines: BTreeMap::new(),
            floor: 0.0,
            passed_over: 0,
        }
    }
}

/// Returns how often a class may be passed over before it goes first.
fn patience(class: Class) -> u32 {
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
        let lines = self.classes.values().filter_map(|c| c.lines.get(account));
        lines.map(|l| l.waiting.len()).sum()
    }

    /// Returns about how many go before a new arrival of an account.
    pub fn ahead_of(
        &self,
        class: Class,
        account: &AccountName,
        share: u32,
    ) -> f64 {
        let stronger = self.classes.range(..class);
        let stronger: usize = stronger.map(|(_, c)| c.waiting()).sum();
        let Some(own) = self.classes.get(&class) else {
            return stronger as f64;
        };
        let line = own.lines.get(account).map_or(0, |l| l.waiting.len());
        let share = f64::from(share.max(1));
        let others = own.lines.iter().filter(|(name, _)| *name != account);
        let fair = |l: &Line<T>| (line as f64 * l.share / share).min(l.waiting.len() as f64);
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
        let floor = lines.floor;
        let line = lines.lines.entry(account.clone()).or_insert_with(|| Line {
            served: floor,
            share: 1.0,
            waiting: VecDeque::new(),
        });
        line.share = f64::from(share.max(1));
        if line.waiting.is_empty() {
            line.served = line.served.max(floor);
        }
        let queued = Queued { number, cost, item };
        if at_front {
            line.waiting.push_front(queued);
        } else {
            line.waiting.push_back(queued);
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
        let Some(line) = lines.and_then(|c| c.lines.get_mut(account)) else {
            return false;
        };
        let index = line.waiting.iter().position(|q| q.number == number);
        let removed = index.and_then(|i| line.waiting.remove(i)).is_some();
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
        let mut tries = MAX_TRIES;
        for class in self.class_order() {
            let lines = self.classes.get_mut(&class)?;
            if let Some(taken) = lines.pop(&mut tries, &mut accept) {
                self.len -= 1;
                self.note_turn(class);
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
        let waiting = self.classes.iter().filter(|(_, c)| c.waiting() > 0);
        let mut order: Vec<(bool, Class)> = waiting
            .map(|(class, c)| (c.passed_over < patience(*class), *class))
            .collect();
        order.sort();
        order.into_iter().map(|(_, class)| class).collect()
    }

    /// Counts the weaker classes as passed over, and the served one not any more.
    fn note_turn(
        &mut self,
        served: Class,
    ) {
        for (class, lines) in &mut self.classes {
            if *class == served {
                lines.passed_over = 0;
            } else if *class > served && lines.waiting() > 0 {
                lines.passed_over += 1;
            }
        }
    }
}

impl<T> ClassLines<T> {
    fn waiting(&self) -> usize {
        self.lines.values().map(|l| l.waiting.len()).sum()
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
            let line = self.lines.get_mut(&account)?;
            let head = line.waiting.front()?;
            let Some(decision) = accept(&head.item) else {
                *tries -= 1;
                continue;
            };
            let queued = line.waiting.pop_front()?;
            self.floor = self.floor.max(line.served);
            line.served += queued.cost / line.share;
            return Some((queued.item, decision));
        }
        None
    }

    fn account_order(&self) -> Vec<AccountName> {
        let waiting = self.lines.iter().filter(|(_, l)| !l.waiting.is_empty());
        let mut order: Vec<(f64, &AccountName)> = waiting.map(|(a, l)| (l.served, a)).collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        order.into_iter().map(|(_, a)| a.clone()).collect()
    }
}
