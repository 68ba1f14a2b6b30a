//! One incarnation of a stand-in worker.

use {
    super::{
        fleet::CAPACITY,
        node::address,
        proxy::Proxy,
        scenario::{RandomLateCalls, Scenario},
    },
    compio::runtime::{JoinHandle, spawn},
    limpetquay::{
        connection::{HttpClient, HttpServer},
        platform::stand_in::{StandInWorker, WorkerModel},
        prelude::*,
    },
    std::{cell::Cell, net::Ipv4Addr},
};

/// What the heartbeats of a worker say.
pub struct Announcements {
    /// Whether heartbeats are sent.
    pub is_sending: Cell<bool>,
    /// The time until the worker leaves, in milliseconds; `None` if it is not draining.
    pub remaining_ms: Cell<Option<u64>>,
}

/// One incarnation of a stand-in worker. Dropping it ends its server and its heartbeats.
pub struct WorkerIncarnation {
    pub number: u64,
    pub model: Rc<StandInWorker>,
    pub link: Proxy,
    pub announcements: Rc<Announcements>,
    _server: JoinHandle<()>,
    _heartbeats: JoinHandle<()>,
}

impl WorkerIncarnation {
    /// Starts a worker beside the guard at `guard`, to which it sends heartbeats.
    pub async fn start(
        client: &HttpClient,
        clock: &Rc<dyn Clock>,
        scenario: &Scenario,
        guard: Ipv4Addr,
        number: u64,
    ) -> Self {
        let terms = scenario.terms;
        let model = WorkerModel::new(terms.max_lease_ms, terms.stop_ms);
        let id = format!("w-{number}");
        let model = Rc::new(StandInWorker::new(clock.clone(), &id, model));
        if scenario.late_orders_percent + scenario.late_polls_percent > 0 {
            model.set_late_calls(Rc::new(RandomLateCalls::new(scenario, number)));
        }
        let any_port = address(guard, 0);
        let server = HttpServer::bind(any_port, model.clone())
            .await
            .expect("the worker's port can be bound");
        let target = server.local_addr().expect("a bound socket has an address");
        let link = Proxy::start(any_port, target).await;
        let url = format!("http://{}/Instances.Heartbeat/{id}", address(guard, 8526));
        let announcements = Rc::new(Announcements {
            is_sending: Cell::new(true),
            remaining_ms: Cell::new(None),
        });
        let heartbeats = send_heartbeats(
            client.clone(),
            url,
            link.address(),
            number,
            announcements.clone(),
            terms.heartbeat_interval,
        );
        Self {
            number,
            model,
            link,
            announcements,
            _server: spawn(server.run(std::future::pending())),
            _heartbeats: spawn(heartbeats),
        }
    }
}

async fn send_heartbeats(
    client: HttpClient,
    url: String,
    worker: SocketAddr,
    incarnation: u64,
    announcements: Rc<Announcements>,
    interval: Duration,
) {
    for sequence in 1.. {
        while !announcements.is_sending.get() {
            compio::time::sleep(interval).await;
        }
        let state = match announcements.remaining_ms.get() {
            Some(ms) => format!(r#""draining","RemainingMs":{ms}"#),
            None => r#""in_service""#.to_owned(),
        };
        let heartbeat = format!(
            r#"{{"Service":"s","Address":"{worker}","State":{state},"Sequence":{sequence},
            "Capacity":{{"Cpu":{},"MemMb":{},"Gpu":{}}},"Labels":["a","r1"],"born":{incarnation}}}"#,
            CAPACITY.cpu_milli, CAPACITY.memory_mb, CAPACITY.accelerators,
        );
        // A guard that cannot be reached receives a later heartbeat.
        drop(client.post(&url, &[], heartbeat.into(), interval).await);
        compio::time::sleep(interval).await;
    }
}
