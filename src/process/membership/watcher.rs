//! One entry to which a guard announces.

use {
    super::{Announce, Announcement, Announcer, Datagram, EntryRow, WatcherRole},
    crate::{
        prelude::*,
        process::{clock::with_timeout, task_group::TaskGroup},
    },
    event_listener::{Event, EventListener},
    futures_util::future::select,
    std::cell::Cell,
};

/// The pause between announcements to the primary watcher when nothing changes.
const PRIMARY_INTERVAL: Duration = Duration::from_secs(1);

/// The pause between announcements to the standby watcher when nothing changes.
const STANDBY_INTERVAL: Duration = Duration::from_secs(2);

/// How long the primary watcher may leave announcements unanswered.
const PRIMARY_SILENCE: Duration = Duration::from_secs(3);

/// How long the standby watcher may leave announcements unanswered.
const STANDBY_SILENCE: Duration = Duration::from_secs(5);

/// The shortest pause between two announcements.
const SPACING: Duration = Duration::from_millis(10);

/// How often an announcement is sent again while it is not acknowledged.
const RETRIES: u32 = 2;

/// How long an acknowledgement is awaited.
const ACK_WAIT: Duration = Duration::from_millis(250);

/// The pause between changes of load until an entry has asked for another one.
const FIRST_LOAD_SPACING: Duration = Duration::from_millis(50);

/// One entry to which a guard announces.
pub(super) struct Watcher {
    pub(super) row: EntryRow,
    role: Cell<WatcherRole>,
    known: Cell<bool>,
    whole: RefCell<Option<Announcement>>,
    load_spacing: Cell<Duration>,
    acked: Cell<Millis>,
    acked_sequence: Cell<u64>,
    acknowledged: Event,
    poked: Event,
    task: TaskGroup,
}

impl Watcher {
    /// Starts announcing to an entry.
    pub(super) fn start(
        announcer: &Rc<Announcer>,
        row: EntryRow,
        role: WatcherRole,
    ) -> Rc<Self> {
        let watcher = Rc::new(Self {
            row,
            role: Cell::new(role),
            known: Cell::new(false),
            whole: RefCell::default(),
            load_spacing: Cell::new(FIRST_LOAD_SPACING),
            acked: Cell::new(announcer.clock.now()),
            acked_sequence: Cell::new(0),
            acknowledged: Event::new(),
            poked: Event::new(),
            task: TaskGroup::default(),
        });
        let task = run_watcher(announcer.clone(), watcher.clone());
        watcher.task.spawn(task);
        watcher
    }

    /// Returns what the entry is to the guard.
    pub(super) fn role(&self) -> WatcherRole {
        self.role.get()
    }

    /// Changes what the entry is to the guard, and tells it at once.
    pub(super) fn set_role(
        &self,
        role: WatcherRole,
    ) {
        if self.role.replace(role) != role {
            self.poke();
        }
    }

    /// Has the entry told at once.
    pub(super) fn poke(&self) {
        self.poked.notify(usize::MAX);
    }

    /// Notes that the entry has heard an announcement.
    pub(super) fn note_ack(
        &self,
        now: Millis,
        sequence: u64,
        known: bool,
        load_spacing: Duration,
    ) {
        self.acked.set(now);
        self.acked_sequence
            .set(self.acked_sequence.get().max(sequence));
        self.load_spacing.set(load_spacing);
        self.acknowledged.notify(usize::MAX);
        let whole = self.whole.borrow().as_ref().map(|w| w.sequence);
        let has_whole = whole.is_some_and(|w| w <= sequence);
        self.known.set(known && has_whole);
        if !known {
            self.poke();
        }
    }

    /// Tells whether the entry has acknowledged an announcement.
    pub(super) fn has_acked(&self) -> bool {
        self.acked_sequence.get() > 0
    }

    /// Tells whether the entry has been silent for too long.
    pub(super) fn is_silent(
        &self,
        now: Millis,
    ) -> bool {
        let limit = match self.role.get() {
            WatcherRole::Primary => PRIMARY_SILENCE,
            _ => STANDBY_SILENCE,
        };
        now.since(self.acked.get()) >= limit
    }

    /// Tells whether the entry needs the whole announcement, and notes that it gets it.
    fn needs_whole(
        &self,
        announcement: &Announcement,
    ) -> bool {
        let mut whole = self.whole.borrow_mut();
        let same = |w: &Announcement| !w.differs_beyond_pulse(announcement);
        let needed = !self.known.get() || !whole.as_ref().is_some_and(same);
        if needed {
            self.known.set(false);
            *whole = Some(announcement.clone());
        }
        needed
    }

    /// Ends announcing to the entry.
    pub(super) fn end(&self) {
        self.task.cancel();
    }
}

/// Announces to one entry at each change, and at an interval when there is none, for ever.
async fn run_watcher(
    announcer: Rc<Announcer>,
    watcher: Rc<Watcher>,
) {
    loop {
        let changed = announcer.changed.listen();
        let poked = watcher.poked.listen();
        let sent = announce_until_acked(&announcer, &watcher).await;
        announcer.clock.sleep(SPACING).await;
        wait_for_turn(&announcer, &watcher, &sent, changed, poked).await;
    }
}

/// Announces, and again when no acknowledgement comes; returns what was announced last.
async fn announce_until_acked(
    announcer: &Announcer,
    watcher: &Watcher,
) -> Announcement {
    let mut announcement = announce(announcer, watcher).await;
    for _ in 0..RETRIES {
        if wait_for_ack(announcer, watcher, announcement.sequence).await {
            break;
        }
        announcement = announce(announcer, watcher).await;
    }
    announcement
}

/// Announces once: whole to an entry that may not know the upstream, and otherwise what can change.
pub(super) async fn announce(
    announcer: &Announcer,
    watcher: &Watcher,
) -> Announcement {
    let announcement = announcer.describe();
    let role = watcher.role.get();
    let candidates = announcer.digest();
    let datagram = if watcher.needs_whole(&announcement) {
        Datagram::Announce(Announce {
            content: announcement.clone(),
            role,
            candidates,
        })
    } else {
        Datagram::Pulse(Announce {
            content: announcement.pulse(),
            role,
            candidates,
        })
    };
    announcer.send(watcher.row.address, &datagram).await;
    announcement
}

async fn wait_for_ack(
    announcer: &Announcer,
    watcher: &Watcher,
    sequence: u64,
) -> bool {
    let waiting = async {
        loop {
            let acknowledged = watcher.acknowledged.listen();
            if watcher.acked_sequence.get() >= sequence {
                return;
            }
            acknowledged.await;
        }
    };
    let acked = with_timeout(&*announcer.clock, ACK_WAIT, waiting).await;
    acked.is_some()
}

/// Waits until the next announcement is due: at once after a change of status, after a pause
/// after a change of load, and after the interval otherwise.
async fn wait_for_turn(
    announcer: &Announcer,
    watcher: &Watcher,
    sent: &Announcement,
    mut changed: EventListener,
    mut poked: EventListener,
) {
    let clock = &announcer.clock;
    let start = clock.now();
    let is_primary = watcher.role.get() == WatcherRole::Primary;
    let interval = if is_primary {
        PRIMARY_INTERVAL
    } else {
        STANDBY_INTERVAL
    };
    let mut due = start + Millis::from(announcer.jittered(interval));
    loop {
        let signal = select(&mut changed, &mut poked);
        let waited = with_timeout(&**clock, due.since(clock.now()), signal).await;
        match waited {
            None | Some(futures_util::future::Either::Right(_)) => return,
            Some(futures_util::future::Either::Left(_)) => {}
        }
        changed = announcer.changed.listen();
        if announcer.describe().differs_in_status(sent) {
            return;
        }
        if is_primary {
            due = due.min(start + Millis::from(watcher.load_spacing.get()));
        }
    }
}
