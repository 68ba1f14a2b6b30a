//! Rolling replacement of entries and guards under load, over real sockets.

use {
    compio::runtime::{Runtime, spawn},
    hyper::Method,
    limpetquay::{
        connection::HttpClient,
        prelude::*,
        process::{
            clock::SystemClock,
            entry::Entry,
            local::{EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem, example_key},
            settings::LocalSettings,
        },
    },
    std::{cell::Cell, collections::BTreeMap},
};

/// The timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The number of callers, each of which sends one request after the other.
const CALLERS: usize = 16;

/// The entries behind the load balancer, with their addresses.
type Targets = Rc<RefCell<Vec<(SocketAddr, Rc<Entry>)>>>;

/// The interval at which the load balancer checks readiness.
const BALANCER_INTERVAL: Duration = Duration::from_millis(200);

/// Callers that send requests through a load balancer.
struct Load {
    clock: Rc<dyn Clock>,
    targets: Targets,
    ready: RefCell<Vec<SocketAddr>>,
    results: RefCell<BTreeMap<String, u32>>,
    next: Cell<usize>,
    stopped: Cell<bool>,
}

impl Load {
    /// Sends one request after the other until the load is stopped.
    async fn run(self: Rc<Self>) {
        let client = HttpClient::new(self.clock.clone());
        let bearer = format!("Bearer {}", example_key("jozi-studios"));
        let headers = [("authorization", bearer.as_str())];
        while !self.stopped.get() {
            let Some(target) = self.ready_target() else {
                self.clock.sleep(Duration::from_millis(5)).await;
                continue;
            };
            let url = format!("http://{target}/v1/requests/crash-analysis");
            let body = Bytes::from_static(b"run_ms=400");
            let called = client.call(Method::POST, &url, &headers, body, TIMEOUT);
            let result = match called.await {
                Ok(answer) => answer.status.to_string(),
                Err(e) => e.to_string(),
            };
            *self.results.borrow_mut().entry(result).or_default() += 1;
        }
    }

    /// Checks the readiness of the entries at an interval, as a load balancer does, until the load
    /// is stopped.
    async fn balance(self: Rc<Self>) {
        while !self.stopped.get() {
            let targets = self.targets.borrow().clone();
            let ready = targets.iter().filter(|(_, entry)| entry.is_ready());
            *self.ready.borrow_mut() = ready.map(|(address, _)| *address).collect();
            self.clock.sleep(BALANCER_INTERVAL).await;
        }
    }

    fn ready_target(&self) -> Option<SocketAddr> {
        let ready = self.ready.borrow();
        let next = self.next.get();
        self.next.set(next + 1);
        (!ready.is_empty()).then(|| ready[next % ready.len()])
    }
}

fn update_targets(
    system: &LocalSystem,
    targets: &Targets,
) {
    let entries = system.entries().iter();
    let known = entries.map(|e| (e.http_address(), e.entry().clone()));
    *targets.borrow_mut() = known.collect();
}

/// No request is lost or interrupted while every entry and every guard is replaced.
#[test]
fn a_rolling_replacement_loses_no_request() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS).expect("settings");
        let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
        let mut system = system.expect("the system starts");
        let load = Rc::new(Load {
            clock: clock.clone(),
            targets: Rc::default(),
            ready: RefCell::default(),
            results: RefCell::default(),
            next: Cell::new(0),
            stopped: Cell::new(false),
        });
        update_targets(&system, &load.targets);
        let balancer = spawn(load.clone().balance());
        let callers: Vec<_> = (0..CALLERS).map(|_| spawn(load.clone().run())).collect();
        for _ in 0..system.entries().len() {
            system.replace_entry(0).await.expect("a new entry");
            update_targets(&system, &load.targets);
            clock.sleep(Duration::from_millis(300)).await;
        }
        for i in 0..system.guards().len() {
            system.replace_guard(i).await.expect("a new guard");
        }
        load.stopped.set(true);
        for caller in callers {
            let _ = caller.await;
        }
        let _ = balancer.await;
        let results = load.results.borrow().clone();
        let answered = results.get("200").copied().unwrap_or(0);
        let others: Vec<&String> = results.keys().filter(|k| *k != "200").collect();
        let ran: u32 = system
            .upstreams()
            .iter()
            .map(|u| u.requests().run_counts().len() as u32)
            .sum();
        let once = system
            .upstreams()
            .iter()
            .all(|u| u.requests().run_counts().values().all(|n| *n == 1));
        let most = system
            .upstreams()
            .iter()
            .map(|u| u.requests().max_concurrent_runs())
            .max();
        insta::assert_debug_snapshot!([
            format!("at least 100 answered: {}", answered >= 100),
            format!("other results: {others:?}"),
            format!("each request was run once: {}", ran == answered && once),
            format!("slots exceeded: {}", most > Some(8)),
        ]);
        system.stop().await;
    });
}
