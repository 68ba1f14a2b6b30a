//! The system under test of the request benchmarks and its load generators, in one process over
//! loopback sockets.

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

/// The document of every system under test.
const DOCUMENT: &str = include_str!("service.ini");

/// The time after which a caller gives up a request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// One data centre of a testbed.
#[derive(Clone, Copy, Debug)]
pub struct DataCentreSpec {
    /// The data centre's name.
    pub name: &'static str,
    /// The data centre's region.
    pub region: &'static str,
    /// The number of entries.
    pub entry_count: u32,
    /// The number of workers, each with its guard.
    pub worker_count: u32,
}

/// A stream of identical requests of one account to one target.
#[derive(Clone, Debug)]
pub struct RequestStream {
    /// The account that sends the requests.
    pub account: &'static str,
    /// The request kind.
    pub kind: &'static str,
    /// The body of each request.
    pub body: String,
    /// The index of the entry, or that of the upstream for direct calls.
    pub target_index: usize,
    /// Whether to call an upstream directly instead of an entry.
    pub is_direct: bool,
}

impl RequestStream {
    /// Returns a stream of an account's requests of a kind through the first entry. Each request
    /// runs for `run_ms` milliseconds.
    pub fn new(
        account: &'static str,
        kind: &'static str,
        run_ms: u64,
    ) -> Self {
        Self {
            account,
            kind,
            body: format!("run_ms={run_ms}"),
            target_index: 0,
            is_direct: false,
        }
    }

    /// Returns the same stream through the entry with the given index.
    pub fn via_entry(
        self,
        entry_index: usize,
    ) -> Self {
        Self {
            target_index: entry_index,
            ..self
        }
    }
}

/// A running local system and the client that loads it.
pub struct Testbed {
    /// The system under test.
    pub system: RefCell<LocalSystem>,
    client: HttpClient,
}

impl Testbed {
    /// Starts a system whose workers have `slots` slots each.
    ///
    /// # Errors
    /// [`BenchError`] if the system cannot be started.
    pub async fn start(
        data_centres: &[DataCentreSpec],
        slots: u32,
    ) -> Result<Self, BenchError> {
        let mut text = format!(
            "[workers]\nslots = {slots}\nconnections = 64\naccelerators = 0\nper_rack = 3\n"
        );
        for data_centre in data_centres {
            text += &format!(
                "[data-centre {}]\nregion = {}\nentries = {}\nworkers = {}\n",
                data_centre.name,
                data_centre.region,
                data_centre.entry_count,
                data_centre.worker_count
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

    /// Sets the routing policy of every entry.
    pub fn set_routing_policy(
        &self,
        policy: &Rc<dyn RoutingPolicy>,
    ) {
        for entry in self.system.borrow().entries() {
            *entry.entry().routing.borrow_mut() = policy.clone();
        }
    }

    /// Runs `callers` concurrent callers for a time, each of which sends its next request of the
    /// stream when the previous one is answered. Returns the outcomes of all requests.
    pub async fn run_closed_loop(
        self: &Rc<Self>,
        stream: &RequestStream,
        callers: usize,
        duration: Duration,
    ) -> Samples {
        let samples: Rc<RefCell<Samples>> = Rc::default();
        let end = Instant::now() + duration;
        let callers = (0..callers).map(|caller| {
            let testbed = self.clone();
            let stream = stream.clone();
            let samples = samples.clone();
            spawn(async move {
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    let (status, latency) =
                        testbed.call(&stream, &format!("{caller}-{number}")).await;
                    samples.borrow_mut().record_outcome(status, latency);
                }
            })
        });
        let callers: Vec<JoinHandle<()>> = callers.collect();
        join_all(callers).await;
        samples.take()
    }

    /// Sends requests of a stream for a time as a Poisson process with a mean of `per_s` requests
    /// per second, independently of how long the answers take. Returns the outcomes of all
    /// requests.
    pub async fn run_open_loop(
        self: &Rc<Self>,
        stream: &RequestStream,
        per_s: f64,
        duration: Duration,
        seed: u64,
    ) -> Samples {
        let samples: Rc<RefCell<Samples>> = Rc::default();
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let mut send_offset = Duration::ZERO;
        let mut calls: Vec<JoinHandle<()>> = Vec::new();
        while send_offset < duration {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            send_offset += Duration::from_secs_f64(-uniform.ln() / per_s);
            let remaining = send_offset.saturating_sub(start.elapsed());
            if remaining >= Duration::from_millis(1) {
                compio::time::sleep(remaining).await;
            }
            let testbed = self.clone();
            let stream = stream.clone();
            let samples = samples.clone();
            let number = calls.len();
            calls.push(spawn(async move {
                let (status, latency) = testbed.call(&stream, &number.to_string()).await;
                samples.borrow_mut().record_outcome(status, latency);
            }));
        }
        join_all(calls).await;
        samples.take()
    }

    /// Stops the system if this is the last handle to the testbed.
    pub async fn stop(self: Rc<Self>) {
        if let Ok(testbed) = Rc::try_unwrap(self) {
            testbed.system.into_inner().stop().await;
        }
    }

    async fn call(
        &self,
        stream: &RequestStream,
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
        stream: &RequestStream,
    ) -> String {
        if stream.is_direct {
            let address = self.system.borrow().worker_addresses()[stream.target_index];
            format!("http://{address}/run/{}", stream.kind)
        } else {
            let address = self.system.borrow().entries()[stream.target_index].http_address();
            format!("http://{address}/v1/requests/{}", stream.kind)
        }
    }
}
