//! Keeps a guard registered in the ledger while it has a worker.

use {
    super::RunGuard,
    crate::{
        prelude::*,
        process::{
            clock::{sleep_logging_delay, with_timeout},
            ledger::{DeregistrationOutcome, Ledger, Member, deregister, register},
        },
    },
};

/// How long a guard waits for a message from a scheduling entry before it registers again: longer
/// than the election of another entry takes.
const MAX_SCHEDULER_SILENCE: Duration = Duration::from_millis(4000);

/// The interval at which a guard checks whether its registration has to change.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The pause between two attempts to deregister. Other records that are stored at the same moment make an
/// attempt fail, and the guard is in nobody's way meanwhile.
const DEREGISTER_RETRY: Duration = Duration::from_millis(1000);

/// How long a guard whose worker looks gone stays registered at least, in case another one starts: longer
/// than the pauses of a worker that restarts repeatedly.
const WORKER_RESTART_GRACE: Duration = Duration::from_millis(2000);

/// Registers the guard at its start, and again whenever no scheduling entry has sent it a message
/// for some time, since its record may have been dropped in the meantime. Deregisters it when its
/// worker has ended, so that no scheduling entry waits for the guard if its instance is removed as
/// well. A worker that only looks so keeps the registration until its last lease has expired: an
/// entry that reads the ledger after a deregistration would not wait for the lease. A new worker
/// makes the guard register again, under another number; the guard does not use the worker before
/// that is stored, because an entry that takes over does not wait for a guard without a record.
pub async fn keep_registered(
    guard: Rc<RunGuard>,
    ledger: Rc<Ledger>,
    clock: Rc<dyn Clock>,
    mut member: Member,
) {
    loop {
        register(ledger.clone(), clock.clone(), member.clone()).await;
        guard.confirm_registration(member.registration);
        let registered_at = clock.now();
        if wait_for_change(&guard, &*clock, registered_at).await
            == RegistrationChange::SchedulerUnresponsive
        {
            continue;
        }
        if end_registration(&guard, &ledger, &*clock, &member).await {
            member.registration = rand::random();
        }
        while guard.tracker.borrow().is_worker_gone() {
            with_timeout(&*clock, CHECK_INTERVAL, guard.changed.listen()).await;
        }
    }
}

/// Removes the registration of a guard whose worker has ended. Returns whether it may be removed; if a
/// worker is there again first, it stays. Between two attempts the guard is registered as before, so that
/// a new worker is used at once.
async fn end_registration(
    guard: &RunGuard,
    ledger: &Ledger,
    clock: &dyn Clock,
    member: &Member,
) -> bool {
    while guard.tracker.borrow().has_worker_ended() {
        let lease = {
            let mut tracker = guard.tracker.borrow_mut();
            tracker.withdraw_registration();
            tracker.remaining_lease(clock.now())
        };
        // The scheduling entry would store a registration again that a report still names.
        guard.changed.notify(usize::MAX);
        match deregister(ledger, member, lease).await {
            DeregistrationOutcome::Removed | DeregistrationOutcome::Unknown => return true,
            DeregistrationOutcome::Kept => guard.confirm_registration(member.registration),
        }
        sleep_logging_delay(clock, DEREGISTER_RETRY).await;
    }
    false
}

/// Why a guard's registration has to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RegistrationChange {
    /// No scheduling entry has sent a message for some time.
    SchedulerUnresponsive,
    /// The worker has certainly ended, and no other one has started.
    WorkerEnded,
}

async fn wait_for_change(
    guard: &RunGuard,
    clock: &dyn Clock,
    registered_at: Millis,
) -> RegistrationChange {
    let mut last_present_at = clock.now();
    loop {
        sleep_logging_delay(clock, CHECK_INTERVAL).await;
        let now = clock.now();
        let (is_worker_gone, has_worker_ended, last_orders_at) = {
            let tracker = guard.tracker.borrow();
            (
                tracker.is_worker_gone(),
                tracker.has_worker_ended(),
                tracker.last_orders_at,
            )
        };
        if !is_worker_gone {
            last_present_at = now;
        }
        if has_worker_ended && now.since(last_present_at) > WORKER_RESTART_GRACE {
            return RegistrationChange::WorkerEnded;
        }
        if now.since(last_orders_at.max(registered_at)) > MAX_SCHEDULER_SILENCE {
            return RegistrationChange::SchedulerUnresponsive;
        }
    }
}
