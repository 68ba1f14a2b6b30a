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
const UNHEARD_LIMIT: Duration = Duration::from_millis(4000);

/// How often a guard checks that it is heard.
const UNHEARD_POLL: Duration = Duration::from_millis(500);

/// How long a guard whose worker has ended stays registered, in case that another one begins: more
/// than the pauses of a worker that restarts again and again.
const VACANT_LIMIT: Duration = Duration::from_millis(2000);

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
        if wait_for_change(&guard, &*clock, registered).await == Change::Vacant {
            unregister(&ledger, &member).await;
            while guard.book.borrow().is_vacant() {
                with_timeout(&*clock, UNHEARD_POLL, guard.changed.listen()).await;
            }
        }
    }
}

/// Why a guard's registration has to change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Change {
    /// No scheduling entry was heard for some time.
    Unheard,
    /// The worker has ended, and no other one has begun.
    Vacant,
}

async fn wait_for_change(
    guard: &RunGuard,
    clock: &dyn Clock,
    registered: Millis,
) -> Change {
    let mut occupied = clock.now();
    loop {
        clock.sleep(UNHEARD_POLL).await;
        let now = clock.now();
        let (is_vacant, told_at) = {
            let book = guard.book.borrow();
            (book.is_vacant(), book.told_at)
        };
        if !is_vacant {
            occupied = now;
        }
        if now.since(occupied) > VACANT_LIMIT {
            return Change::Vacant;
        }
        if now.since(told_at.max(registered)) > UNHEARD_LIMIT {
            return Change::Unheard;
        }
    }
}
