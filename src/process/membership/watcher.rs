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
const PRIMARY_ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the standby watcher may leave announcements unanswered.
const STANDBY_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// The shortest pause between two announcements.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(10);

/// How often an announcement is sent again while it is not acknowledged.
const MAX_RESENDS: u32 = 2;

/// How long an acknowledgement is awaited.
const RESEND_TIMEOUT: Duration = Duration::from_millis(250);

/// The pause between changes of load until an entry has asked for another one.
const INITIAL_LOAD_SPACING: Duration = Duration::from_millis(50);

/// One entry to which a guard announces.
pub(super) struct Watcher {
    pub(super) row: EntryRow,
    role: Cell<WatcherRole>,
    has_full: Cell<bool>,
    last_full: RefCell<Option<Announcement>>,
    load_spacing: Cell<Duration>,
    last_ack_at: Cell<Millis>,
    acked_sequence: Cell<u64>,
    ack_received: Event,
    send_requested: Event,
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
            has_full: Cell::new(false),
            last_full: RefCell::default(),
            load_spacing: Cell::new(INITIAL_LOAD_SPACING),
            last_ack_at: Cell::new(announcer.clock.now()),
            acked_sequence: Cell::new(0),
            ack_received: Event::new(),
            send_requested: Event::new(),
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
            self.request_send();
        }
    }

    /// Has the entry told at once.
    pub(super) fn request_send(&self) {
        self.send_requested.notify(usize::MAX);
    }

    /// Notes that the entry has heard an announcement.
    pub(super) fn record_ack(
        &self,
        now: Millis,
        sequence: u64,
        known: bool,
        load_spacing: Duration,
    ) {
        self.last_ack_at.set(now);
        self.acked_sequence
            .set(self.acked_sequence.get().max(sequence));
        self.load_spacing.set(load_spacing);
        self.ack_received.notify(usize::MAX);
        let whole = self.last_full.borrow().as_ref().map(|w| w.sequence);
        let has_whole = whole.is_some_and(|w| w <= sequence);
        self.has_full.set(known && has_whole);
        if !known {
            self.request_send();
        }
    }

    /// Tells whether the entry has acknowledged an announcement.
    pub(super) fn has_acked(&self) -> bool {
        self.acked_sequence.get() > 0
    }

    /// Tells whether the entry has been silent for too long.
    pub(super) fn is_unresponsive(
        &self,
        now: Millis,
    ) -> bool {
        let limit = match self.role.get() {
            WatcherRole::Primary => PRIMARY_ACK_TIMEOUT,
            _ => STANDBY_ACK_TIMEOUT,
        };
        now.since(self.last_ack_at.get()) >= limit
    }

    /// Tells whether the entry needs the whole announcement, and notes that it gets it.
    fn needs_full(
        &self,
        announcement: &Announcement,
    ) -> bool {
        let mut whole = self.last_full.borrow_mut();
        let same = |w: &Announcement| !w.differs_beyond_heartbeat(announcement);
        let needed = !self.has_full.get() || !whole.as_ref().is_some_and(same);
        if needed {
            self.has_full.set(false);
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
        let poked = watcher.send_requested.listen();
        let sent = announce_until_acked(&announcer, &watcher).await;
        announcer.clock.sleep(MIN_SEND_INTERVAL).await;
        wait_until_due(&announcer, &watcher, &sent, changed, poked).await;
    }
}

/// Announces, and again when no acknowledgement comes; returns what was announced last.
async fn announce_until_acked(
    announcer: &Announcer,
    watcher: &Watcher,
) -> Announcement {
    let mut announcement = announce(announcer, watcher).await;
    for _ in 0..MAX_RESENDS {
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
    let announcement = announcer.next_announcement();
    let role = watcher.role.get();
    let candidates = announcer.digest();
    let datagram = if watcher.needs_full(&announcement) {
        Datagram::Announce(Announce {
            content: announcement.clone(),
            role,
            candidates,
        })
    } else {
        Datagram::Pulse(Announce {
            content: announcement.heartbeat(),
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
            let acknowledged = watcher.ack_received.listen();
            if watcher.acked_sequence.get() >= sequence {
                return;
            }
            acknowledged.await;
        }
    };
    let acked = with_timeout(&*announcer.clock, RESEND_TIMEOUT, waiting).await;
    acked.is_some()
}

/// Waits until the next announcement is due: at once after a change of status, after a pause
/// after a change of load, and after the interval otherwise.
async fn wait_until_due(
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
        if announcer.next_announcement().differs_in_status(sent) {
            return;
        }
        if is_primary {
            due = due.min(start + Millis::from(watcher.load_spacing.get()));
        }
    }
}
