//! A guard on the platform.

use {
    super::{BootSettings, Discovery, LogStore, Status, WorkerCalls, entry_role::register},
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            clock::with_timeout,
            ledger::{Condition, Ledger, LedgerKey, Member, MemberRole},
            metrics::FleetMetrics,
            runs::RunGuard,
            task_group::TaskGroup,
        },
    },
    compio::net::TcpListener,
    std::io,
};

/// How long a guard may hear nothing from the scheduling entry before it registers again: the
/// choice of another entry and some slack.
const UNHEARD_LIMIT: Duration = Duration::from_millis(4000);

/// How often a guard checks that it is heard.
const UNHEARD_POLL: Duration = Duration::from_millis(500);

/// How long a guard whose worker has ended stays registered, in case that another one begins: more
/// than the pauses of a worker that restarts again and again.
const VACANT_LIMIT: Duration = Duration::from_millis(2000);

/// A started guard.
pub(super) struct PlatformGuard {
    _tasks: TaskGroup,
    _sessions: TaskGroup,
}

impl PlatformGuard {
    /// Binds the guard's sockets and starts its tasks.
    pub(super) async fn start(
        settings: &BootSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<Self, io::Error> {
        let discovery = BootSettings::required(settings.discovery, "ListenAddrs.ControlPlane");
        let discovery = discovery.map_err(io::Error::other)?;
        let client = HttpClient::new(clock.clone());
        let worker = Rc::new(WorkerCalls::new(client.clone()));
        let guard = Rc::new(RunGuard::new(worker, clock.clone(), settings.heartbeat));
        let server = HttpServer::bind(discovery, Rc::new(Discovery::new(guard.clone()))).await?;
        let sessions = guard.start(TcpListener::bind(settings.peers).await?);
        let tasks = TaskGroup::default();
        tasks.spawn(server.run(std::future::pending()));
        let status = Status::new(Rc::new(FleetMetrics::default()), None);
        let status = HttpServer::bind(settings.metrics, Rc::new(status)).await?;
        tasks.spawn(status.run(std::future::pending()));
        // A guard does not follow the ledger; it only writes where it is.
        let store = Rc::new(LogStore::new(client, settings.store));
        let ledger = Rc::new(Ledger::new(store, clock.clone()));
        let member = Member {
            name: settings.instance.clone(),
            role: MemberRole::Guard,
            address: settings.peers,
            boot: rand::random(),
        };
        tasks.spawn(keep_registered(guard, ledger, clock, member));
        Ok(Self {
            _tasks: tasks,
            _sessions: sessions,
        })
    }
}

/// Registers at the start, and again whenever no scheduling entry has been heard for some time, since
/// the guard's record may have been dropped meanwhile. A guard whose worker has ended unregisters, so
/// that no scheduling entry waits for it once its instance is gone too.
async fn keep_registered(
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

/// Drops the guard's record. When that fails, the scheduling entry drops it after all leases.
async fn unregister(
    ledger: &Ledger,
    member: &Member,
) {
    let key = LedgerKey::Member(member.name.clone());
    match ledger.append(&[key.dropped()], Condition::Always).await {
        Ok(_) => tracing::info!(%key, "unregistered: the worker has ended"),
        Err(e) => tracing::warn!(%key, error = %e, "unregistering failed"),
    }
}
