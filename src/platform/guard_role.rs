//! A guard on the platform.

use {
    super::{BootSettings, Discovery, LogStore, Status, WorkerCalls, entry_role::register},
    crate::{
        connection::{HttpClient, HttpServer},
        prelude::*,
        process::{
            ledger::{Ledger, Member, MemberRole},
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
        let guard = Rc::new(RunGuard::new(worker, clock.clone()));
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

/// Registers at the start and whenever no scheduling entry has been heard for some time, since the
/// guard's record may have been dropped meanwhile.
async fn keep_registered(
    guard: Rc<RunGuard>,
    ledger: Rc<Ledger>,
    clock: Rc<dyn Clock>,
    member: Member,
) {
    loop {
        register(ledger.clone(), clock.clone(), member.clone()).await;
        let registered = clock.now();
        loop {
            clock.sleep(UNHEARD_POLL).await;
            let heard = guard.book.borrow().told_at.max(registered);
            if clock.now().since(heard) > UNHEARD_LIMIT {
                break;
            }
        }
    }
}
