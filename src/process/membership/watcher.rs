//! A guard's connection to one of its watchers.

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

/// The interval between announcements to the primary watcher when nothing changes.
const PRIMARY_INTERVAL: Duration = Duration::from_secs(1);

/// The interval between announcements to the standby watcher when nothing changes.
const STANDBY_INTERVAL: Duration = Duration::from_secs(2);

/// The time without an acknowledgement after which the primary watcher is unresponsive.
const PRIMARY_ACK_TIMEOUT: Duration = Duration::from_secs(3);

/// The time without an acknowledgement after which the standby watcher is unresponsive.
const STANDBY_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum pause between two announcements.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum number of times that an unacknowledged announcement is sent again.
const MAX_RESENDS: u32 = 2;

/// How long to wait for an acknowledgement before the announcement is sent again.
const RESEND_TIMEOUT: Duration = Duration::from_millis(250);

/// The minimum interval between announcements of load changes until the entry has requested
/// another.
const INITIAL_LOAD_SPACING: Duration = Duration::from_millis(50);

/// An entry to which a guard announces its upstream.
pub(super) struct Watcher {
    pub(super) row: EntryRow,
    role: Cell<WatcherRole>,
    /// Whether the entry has acknowledged the last full announcement.
    has_full: Cell<bool>,
    /// The last full announcement that was sent.
    last_full: RefCell<Option<Announcement>>,
    load_spacing: Cell<Duration>,
    last_ack_at: Cell<Millis>,
    acked_sequence: Cell<u64>,
    ack_received: Event,
    send_requested: Event,
    task: TaskGroup,
}

impl Watcher {
    /// Starts the task that announces to an entry.
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

    /// Returns the role of the entry.
    pub(super) fn role(&self) -> WatcherRole {
        self.role.get()
    }

    /// Changes the role of the entry, and announces the change immediately.
    pub(super) fn set_role(
        &self,
        role: WatcherRole,
    ) {
        if self.role.replace(role) != role {
            self.request_send();
        }
    }

    /// Requests an immediate announcement.
    pub(super) fn request_send(&self) {
        self.send_requested.notify(usize::MAX);
    }

    /// Records an acknowledgement; `known` is whether the entry has the full announcement.
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
        let last_full = self.last_full.borrow().as_ref().map(|a| a.sequence);
        let acknowledged_full = last_full.is_some_and(|s| s <= sequence);
        self.has_full.set(known && acknowledged_full);
        if !known {
            self.request_send();
        }
    }

    /// Returns whether the entry has acknowledged an announcement.
    pub(super) fn has_acked(&self) -> bool {
        self.acked_sequence.get() > 0
    }

    /// Returns whether the entry has not acknowledged an announcement for too long.
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

    /// Returns whether the entry needs the full announcement, and if so records that it is sent.
    fn needs_full(
        &self,
        announcement: &Announcement,
    ) -> bool {
        let mut last_full = self.last_full.borrow_mut();
        let same = |w: &Announcement| !w.differs_beyond_heartbeat(announcement);
        let needed = !self.has_full.get() || !last_full.as_ref().is_some_and(same);
        if needed {
            self.has_full.set(false);
            *last_full = Some(announcement.clone());
        }
        needed
    }

    /// Cancels the task.
    pub(super) fn end(&self) {
        self.task.cancel();
    }
}

/// Announces to one entry at each change, and at an interval when nothing changes. Never returns.
async fn run_watcher(
    announcer: Rc<Announcer>,
    watcher: Rc<Watcher>,
) {
    loop {
        let changed = announcer.changed.listen();
        let send_requested = watcher.send_requested.listen();
        let sent = announce_until_acked(&announcer, &watcher).await;
        announcer.clock.sleep(MIN_SEND_INTERVAL).await;
        wait_until_due(&announcer, &watcher, &sent, changed, send_requested).await;
    }
}

/// Announces, and announces again while no acknowledgement arrives. Returns the last announcement.
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

/// Announces once: in full to an entry that may not have the full announcement, and otherwise with
/// a heartbeat.
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
    let acknowledged = async {
        loop {
            let ack_received = watcher.ack_received.listen();
            if watcher.acked_sequence.get() >= sequence {
                return;
            }
            ack_received.await;
        }
    };
    let acked = with_timeout(&*announcer.clock, RESEND_TIMEOUT, acknowledged).await;
    acked.is_some()
}

/// Waits until the next announcement is due: immediately after a change of status or a request to
/// send, for the primary watcher after the load spacing when the load has changed, and otherwise
/// after the interval.
async fn wait_until_due(
    announcer: &Announcer,
    watcher: &Watcher,
    sent: &Announcement,
    mut changed: EventListener,
    mut send_requested: EventListener,
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
        let signal = select(&mut changed, &mut send_requested);
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
