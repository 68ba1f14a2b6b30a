//! A system under measurement and the load on it, in one process over loopback sockets.

use {
    super::Samples,
    crate::{
        connection::HttpClient,
        prelude::*,
        process::{
            bench::BenchError,
            clock::SystemClock,
            local::{LocalSystem, example_key},
            settings::LocalSettings,
        },
        request::RoutingPolicy,
    },
    compio::runtime::{JoinHandle, spawn},
    futures_util::future::join_all,
    hyper::Method,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Instant,
};

/// The document of every measured system.
const DOCUMENT: &str = include_str!("service.ini");

/// The longest time that a caller waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of one data centre of a bed.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// The data centre's name.
    pub name: &'static str,
    /// Its region.
    pub region: &'static str,
    /// The number of its entries.
    pub entries: u32,
    /// The number of its workers.
    pub workers: u32,
}

/// One stream of requests: who sends what where.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The account.
    pub account: &'static str,
    /// The request kind.
    pub kind: &'static str,
    /// The body.
    pub body: String,
    /// The index of the entry, or of the upstream for direct calls.
    pub target: usize,
    /// Whether to call the upstream and not the entry.
    pub direct: bool,
}

impl Stream {
    /// Returns a stream of one account and kind through the first entry, whose requests run for
    /// `run_ms` milliseconds.
    pub fn new(
        account: &'static str,
        kind: &'static str,
        run_ms: u64,
    ) -> Self {
        Self {
            account,
            kind,
            body: format!("run_ms={run_ms}"),
            target: 0,
            direct: false,
        }
    }

    /// Returns the same stream through another entry.
    pub fn through(
        self,
        target: usize,
    ) -> Self {
        Self { target, ..self }
    }
}

/// A running system with a client.
pub struct Bed {
    /// The system.
    pub system: RefCell<LocalSystem>,
    client: HttpClient,
}

impl Bed {
    /// Starts a system whose workers have `slots` slots each.
    ///
    /// # Errors
    /// [`BenchError`] when the system does not start.
    pub async fn start(
        sites: &[Site],
        slots: u32,
    ) -> Result<Self, BenchError> {
        let mut text = format!(
            "[workers]\nslots = {slots}\nconnections = 64\naccelerators = 0\nper_rack = 3\n"
        );
        for site in sites {
            text += &format!(
                "[data-centre {}]\nregion = {}\nentries = {}\nworkers = {}\n",
                site.name, site.region, site.entries, site.workers
            );
        }
        let settings = LocalSettings::parse("bench.ini", &text);
        let settings = settings.map_err(|e| BenchError::Failed(e.to_string()))?;
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let system = LocalSystem::start(&settings, DOCUMENT, clock.clone()).await?;
        Ok(Self {
            system: RefCell::new(system),
            client: HttpClient::new(clock),
        })
    }

    /// Has every entry choose by a policy from now on.
    pub fn set_routing(
        &self,
        policy: &Rc<dyn RoutingPolicy>,
    ) {
        for running in self.system.borrow().entries() {
            *running.entry().routing.borrow_mut() = policy.clone();
        }
    }

    /// Keeps `callers` requests of a stream in progress for a time.
    pub async fn closed_loop(
        self: &Rc<Self>,
        stream: &Stream,
        callers: usize,
        span: Duration,
    ) -> Samples {
        let samples: Rc<RefCell<Samples>> = Rc::default();
        let end = Instant::now() + span;
        let callers = (0..callers).map(|caller| {
            let bed = self.clone();
            let stream = stream.clone();
            let samples = samples.clone();
            spawn(async move {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let (status, took) = bed.call(&stream, &format!("{caller}-{number}")).await;
                    samples.borrow_mut().count(status, took);
                }
            })
        });
        let callers: Vec<JoinHandle<()>> = callers.collect();
        join_all(callers).await;
        samples.take()
    }

    /// Sends requests of a stream at random times, `per_s` a second on average, for a time, however
    /// long the answers take.
    pub async fn open_loop(
        self: &Rc<Self>,
        stream: &Stream,
        per_s: f64,
        span: Duration,
        seed: u64,
    ) -> Samples {
        let samples: Rc<RefCell<Samples>> = Rc::default();
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut calls: Vec<JoinHandle<()>> = Vec::new();
        while due < span {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            due += Duration::from_secs_f64(-uniform.ln() / per_s);
            let early = due.saturating_sub(start.elapsed());
            if early >= Duration::from_millis(1) {
                compio::time::sleep(early).await;
            }
            let bed = self.clone();
            let stream = stream.clone();
            let samples = samples.clone();
            let number = calls.len();
            calls.push(spawn(async move {
                let (status, took) = bed.call(&stream, &number.to_string()).await;
                samples.borrow_mut().count(status, took);
            }));
        }
        join_all(calls).await;
        samples.take()
    }

    /// Stops the system.
    pub async fn stop(self: Rc<Self>) {
        if let Ok(bed) = Rc::try_unwrap(self) {
            bed.system.into_inner().stop().await;
        }
    }

    async fn call(
        &self,
        stream: &Stream,
        number: &str,
    ) -> (Option<u16>, Duration) {
        let url = self.url(stream);
        let bearer = format!("Bearer {}", example_key(stream.account));
        let headers = [("authorization", bearer.as_str()), ("x-request-id", number)];
        let body = Bytes::copy_from_slice(stream.body.as_bytes());
        let start = Instant::now();
        let calling = self
            .client
            .call(Method::POST, &url, &headers, body, CALL_TIMEOUT);
        let status = calling.await.ok().map(|a| a.status);
        (status, start.elapsed())
    }

    fn url(
        &self,
        stream: &Stream,
    ) -> String {
        if stream.direct {
            let address = self.system.borrow().worker_addresses()[stream.target];
            format!("http://{address}/run/{}", stream.kind)
        } else {
            let address = self.system.borrow().entries()[stream.target].http_address();
            format!("http://{address}/v1/requests/{}", stream.kind)
        }
    }
}
