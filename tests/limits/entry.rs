//! An entry or a guard that runs as a process of its own, with its stand-in store.

use {
    compio::runtime::Runtime,
    limpetquay::{
        connection::{HttpHandler, HttpRequest, HttpResponse, HttpServer},
        platform::stand_in::StandInStore,
        prelude::*,
        process::clock::SystemClock,
    },
    std::{
        fs::{self, File},
        io::{self, Read, Write},
        net::{Ipv4Addr, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering},
        thread,
    },
};

/// The memory of the entry's machine, in MB, and the bound on the entry's peak.
const MEMORY_MB: u64 = 64;

/// The descriptors of the entry's machine, and the bound on those that the entry has open.
const MAX_FDS: usize = 400;

/// How often an ordinary request is repeated until it is answered.
const ATTEMPTS: usize = 40;

/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How long an ordinary client waits for bytes of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The number of ordinary requests in one check. They also give the entry the time to read what a
/// crowd has sent.
const ORDINARY_REQUESTS: usize = 5;

/// The time for a second configuration to be stored and read.
const CONFIG_PAUSE: Duration = Duration::from_secs(3);

/// The pause between two ordinary requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/q/",
    "Priority":0,"Service":"s","Attempts":2,"Stretch":3.0}],"Tenants":[{"Name":"t","ApiKeys":["key"]}]}"#;

const JOB: &str = r#"{"Spec":"a","Steps":[{"Count":1,"Cpu":100,"MemMb":64,"Gpu":0,"EstRuntimeMs":100,
    "DependsOn":[],"GangScheduled":false}]}"#;

/// Distinguishes the addresses of the entries of one test run.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// A running entry, or a guard. It is killed when this value is dropped.
pub struct Entry {
    child: Child,
    ip: Ipv4Addr,
    max_open_files: usize,
    /// Whether the store leaves appends without an answer and an effect.
    is_append_stalled: Arc<AtomicBool>,
    /// The limit on bodies in a second configuration; 0 for none.
    max_body_bytes: Arc<AtomicUsize>,
}

impl Entry {
    /// Starts the store and the entry and waits until the entry is ready.
    ///
    /// # Panics
    /// Panics if the entry does not become ready.
    pub fn start(name: &str) -> Self {
        let entry = Self::start_role(name, "entry");
        let is_ready = retry(|| entry.get(8523, "/").is_ok_and(|status| status == 200));
        assert!(is_ready, "the entry becomes ready");
        entry
    }

    /// Starts the store and a guard, which has the same limits as an entry, and waits until it serves
    /// its metrics.
    ///
    /// # Panics
    /// Panics if the guard does not become ready.
    pub fn start_guard(name: &str) -> Self {
        let guard = Self::start_role(name, "guard");
        assert!(guard.has_metrics(), "the guard becomes ready");
        guard
    }

    fn start_role(
        name: &str,
        role: &str,
    ) -> Self {
        let run = std::process::id();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("limits-{run}"));
        fs::create_dir_all(&dir).expect("the folder can be created");
        // The process ID separates the addresses of test runs at the same time.
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 1 + (run % 200) as u8, 200 + subnet, 1);
        let store = SocketAddr::from((ip, 9000));
        let is_append_stalled = Arc::new(AtomicBool::new(false));
        let max_body_bytes = Arc::new(AtomicUsize::new(0));
        start_store(store, is_append_stalled.clone(), max_body_bytes.clone());
        let settings_path = dir.join(format!("{name}.json"));
        let settings = format!(
            r#"{{"NodeName":"entry","Ip":"{ip}","InternalPortRange":[7000,7015],"HeartbeatMs":300,
            "ListenAddrs":{{"Frontend":"{ip}:8521","Ready":"{ip}:8523","ControlPlane":"{ip}:8526"}},
            "Bounds":{{"MaxHoldMs":3000,"RemoteFactor":3,"GracePeriodS":6,"status_s":120}},
            "Limits":{{"MemoryMb":{MEMORY_MB},"MaxFds":{MAX_FDS}}},
            "platform":{{"Address":"{store}"}}}}"#
        );
        fs::write(&settings_path, settings).expect("the settings file can be written");
        let mut entry = Self {
            child: spawn(role, &settings_path, &dir.join(format!("{name}.log"))),
            ip,
            max_open_files: 0,
            is_append_stalled,
            max_body_bytes,
        };
        entry.observe();
        entry
    }

    /// Waits until the entry has a configuration with another limit on bodies, and for the entry to read it.
    pub fn allow_bodies_of(
        &self,
        bytes: usize,
    ) {
        self.max_body_bytes.store(bytes, Ordering::Relaxed);
        thread::sleep(CONFIG_PAUSE);
    }

    /// Lets the store leave appends without an answer, or answer them again.
    pub fn stall_appends(
        &self,
        is_stalled: bool,
    ) {
        self.is_append_stalled.store(is_stalled, Ordering::Relaxed);
    }

    /// Returns the address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 8521))
    }

    /// Returns the address for other processes of the system.
    pub fn peers_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, 7000))
    }

    /// Returns whether the metrics are served.
    pub fn has_metrics(&self) -> bool {
        retry(|| self.get(7001, "/metrics").is_ok_and(|status| status == 200))
    }

    /// Sends a few ordinary submissions, readiness checks and reads of the metrics, and returns those
    /// that were not answered.
    pub fn ordinary_request_faults(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        for _ in 0..ORDINARY_REQUESTS {
            if !retry(|| self.submit().is_ok_and(|status| status == 200)) {
                faults.push("an ordinary submission is not answered".to_owned());
                break;
            }
            for (port, path) in [(8523, "/"), (7001, "/metrics")] {
                if !retry(|| self.get(port, path).is_ok_and(|status| status == 200)) {
                    faults.push(format!("GET {path} at port {port} is not answered"));
                }
            }
            self.observe();
            thread::sleep(REQUEST_PAUSE);
        }
        faults
    }

    /// Counts the open descriptors of the entry.
    pub fn observe(&mut self) {
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        let count = open.map_or(0, Iterator::count);
        self.max_open_files = self.max_open_files.max(count);
    }

    /// Returns which bounds the entry has exceeded, and whether it has ended.
    ///
    /// # Panics
    /// Panics if the entry cannot be waited for.
    pub fn faults(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        if let Some(status) = self.child.try_wait().expect("the entry is a child") {
            faults.push(format!("the entry has ended: {status}"));
            return faults;
        }
        let peak_kb = self.peak_kb();
        if peak_kb > MEMORY_MB << 10 {
            faults.push(format!("{peak_kb} kB of memory, above {MEMORY_MB} MB"));
        }
        if self.max_open_files > MAX_FDS {
            let count = self.max_open_files;
            faults.push(format!("{count} open descriptors, above {MAX_FDS}"));
        }
        faults
    }

    /// Describes what the entry has used.
    pub fn summary(&self) -> String {
        let (peak_kb, count) = (self.peak_kb(), self.max_open_files);
        format!("peak {peak_kb} kB of memory, at most {count} open descriptors")
    }

    /// Returns the peak of the entry's resident memory; 0 if the entry has ended.
    fn peak_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let number = peak.and_then(|p| p.split_whitespace().next()?.parse().ok());
        number.unwrap_or_default()
    }

    fn submit(&self) -> io::Result<u16> {
        let request = format!(
            "POST /q/00000000000000bb HTTP/1.1\r\nhost: a.example\r\ncredential: key\r\n\
             deadline-ms: 3000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{JOB}",
            JOB.len()
        );
        call(self.callers_address(), &request)
    }

    fn get(
        &self,
        port: u16,
        path: &str,
    ) -> io::Result<u16> {
        let request =
            format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n");
        call(SocketAddr::from((self.ip, port)), &request)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        killed.expect("the entry can be killed");
    }
}

/// A store that can leave appends without an answer.
struct StallingStore {
    inner: Rc<StandInStore>,
    is_append_stalled: Arc<AtomicBool>,
}

impl HttpHandler for StallingStore {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        if req.path == "/log-append" && self.is_append_stalled.load(Ordering::Relaxed) {
            return Box::pin(std::future::pending());
        }
        self.inner.clone().handle(req)
    }

    fn max_body(
        &self,
        path: &str,
    ) -> usize {
        self.inner.max_body(path)
    }
}

/// Starts a store with a configuration on a thread of its own, which runs until the tests end.
fn start_store(
    address: SocketAddr,
    is_append_stalled: Arc<AtomicBool>,
    max_body_bytes: Arc<AtomicUsize>,
) {
    thread::spawn(move || {
        let runtime = Runtime::new().expect("the runtime can be created");
        runtime.block_on(async {
            let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
            let store = Rc::new(StandInStore::new(clock));
            store
                .put("keyed.op", "config", CONFIG.as_bytes())
                .expect("the configuration is stored");
            let (operator, clock) = (store.clone(), SystemClock::default());
            let changing = async move {
                while max_body_bytes.load(Ordering::Relaxed) == 0 {
                    clock.sleep(REQUEST_PAUSE).await;
                }
                let bytes = max_body_bytes.load(Ordering::Relaxed);
                let limits = format!(r#"{{"Version":2,"Limits":{{"MaxBodyBytes":{bytes}}},"#);
                let config = CONFIG.replace(r#"{"Version":1,"#, &limits);
                let stored = operator.put("keyed.op", "config", config.as_bytes());
                stored.expect("the configuration is stored");
            };
            compio::runtime::spawn(changing).detach();
            let store = Rc::new(StallingStore {
                inner: store,
                is_append_stalled,
            });
            let server = HttpServer::bind(address, store).await;
            server.expect("the store").run(std::future::pending()).await;
        });
    });
}

fn spawn(
    role: &str,
    settings_path: &Path,
    log_path: &Path,
) -> Child {
    let log = File::create(log_path).expect("the log file can be created");
    let child = Command::new(env!("CARGO_BIN_EXE_limpetquay"))
        .args(["platform", role])
        .env("LIMPETQUAY_BOOT", settings_path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::inherit())
        .spawn();
    child.expect("the process starts")
}

/// Sends a request on a new connection and returns the status of its answer.
fn call(
    address: SocketAddr,
    request: &str,
) -> io::Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
    status.ok_or_else(|| io::Error::other("there is no status"))
}

/// Repeats an attempt until it succeeds or the attempts are used up.
fn retry<F>(attempt: F) -> bool
where
    F: Fn() -> bool,
{
    (0..ATTEMPTS).any(|_| {
        let is_done = attempt();
        if !is_done {
            thread::sleep(RETRY_PAUSE);
        }
        is_done
    })
}
