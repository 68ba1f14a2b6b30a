//! Keeps a guard registered while it has a worker.

use {
    super::RunGuard,
    crate::{
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Ledger, Member, register, unregister},
        },
    },
};

/// How long a guard may hear nothing from the scheduling entry before it registers again: the
/// choice of another entry and some slack.
const MAX_SCHEDULER_SILENCE: Duration = Duration::from_millis(4000);

/// How often a guard checks that it is heard.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a guard whose worker has ended stays registered, in case that another one begins: more
/// than the pauses of a worker that restarts again and again.
const WORKER_RESTART_GRACE: Duration = Duration::from_millis(2000);

/// Registers at the start, and again whenever no scheduling entry has been heard for some time, since
/// the guard's record may have been dropped meanwhile. A guard whose worker has ended unregisters, so
/// that no scheduling entry waits for it once its instance is gone too.
pub async fn keep_registered(
    guard: Rc<RunGuard>,
    ledger: Rc<Ledger>,
    clock: Rc<dyn Clock>,
    member: Member,
) {
    loop {
        register(ledger.clone(), clock.clone(), member.clone()).await;
        let registered = clock.now();
        if wait_for_change(&guard, &*clock, registered).await == RegistrationChange::WorkerEnded {
            unregister(&ledger, &member).await;
            while guard.tracker.borrow().has_worker_ended() {
                with_timeout(&*clock, CHECK_INTERVAL, guard.changed.listen()).await;
            }
        }
    }
}

/// Why a guard's registration has to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RegistrationChange {
    /// No scheduling entry was heard for some time.
    SchedulerUnresponsive,
    /// The worker has ended, and no other one has begun.
    WorkerEnded,
}

async fn wait_for_change(
    guard: &RunGuard,
    clock: &dyn Clock,
    registered: Millis,
) -> RegistrationChange {
    let mut occupied = clock.now();
    loop {
        clock.sleep(CHECK_INTERVAL).await;
        let now = clock.now();
        let (is_vacant, told_at) = {
            let book = guard.tracker.borrow();
            (book.has_worker_ended(), book.last_orders_at)
        };
        if !is_vacant {
            occupied = now;
        }
        if now.since(occupied) > WORKER_RESTART_GRACE {
            return RegistrationChange::WorkerEnded;
        }
        if now.since(told_at.max(registered)) > MAX_SCHEDULER_SILENCE {
            return RegistrationChange::SchedulerUnresponsive;
        }
    }
}
