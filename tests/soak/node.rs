//! One process of the system and its link to the store.

use {
    super::proxy::Proxy,
    limpetquay::prelude::*,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        net::{IpAddr, Ipv4Addr},
        path::PathBuf,
        process::{Child, Command, Stdio},
    },
};

/// The durations and sizes on which the processes and the stand-ins of a scenario agree.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The longest lease of a worker, in milliseconds.
    pub max_lease_ms: u64,
    /// The time that a worker needs to stop a run, in milliseconds.
    pub stop_ms: u64,
    /// The interval of a worker's heartbeats.
    pub heartbeat_interval: Duration,
    /// The size limit of a record of the store, in bytes.
    pub record_bytes: usize,
    /// The size limit of an append to the store, in bytes.
    pub request_bytes: usize,
}

impl Terms {
    /// The terms of a small deployment.
    pub const SMALL: Self = Self {
        max_lease_ms: 3000,
        stop_ms: 100,
        heartbeat_interval: Duration::from_millis(300),
        record_bytes: 262_144,
        request_bytes: 2_097_152,
    };
}

/// The memory limit of an entry and of a guard, in MB, as on the smallest instances of the users.
const MEMORY_LIMIT_MB: [u64; 2] = [160, 128];

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    Entry,
    Guard,
}

/// A process that can be restarted, with its link to the store.
pub struct Node {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    pub store_link: Proxy,
    child: RefCell<Option<Child>>,
    /// Whether the process was sent SIGTERM, and no other signal since, and its end is awaited.
    pub is_stopping: std::cell::Cell<bool>,
    /// When the process was last started or signalled; the largest value while a fault is applied
    /// to it.
    pub undisturbed_since: std::cell::Cell<Millis>,
    log_path: PathBuf,
    /// The offset in the log of the first line of the running process, in bytes.
    log_start: std::cell::Cell<usize>,
    settings_path: PathBuf,
}

impl Node {
    pub async fn new(
        dir: &std::path::Path,
        subnet: [u8; 2],
        index: u8,
        role: Role,
        store: SocketAddr,
        terms: Terms,
    ) -> Self {
        let ip = ip(subnet, index + 1);
        let name = format!("{role:?}-{index}").to_lowercase();
        let store_link = Proxy::start(address(ip, 9000), store).await;
        let settings_path = dir.join(format!("{name}.json"));
        let text = format!(
            r#"{{"NodeName":"{name}","Ip":"{ip}","InternalPortRange":[7000,7015],"HeartbeatMs":{},
            "ListenAddrs":{{"Frontend":"{ip}:8521","Ready":"{ip}:8523","ControlPlane":"{ip}:8526"}},
            "Bounds":{{"MaxHoldMs":{},"RemoteFactor":3,"GracePeriodS":6,"status_s":120}},
            "platform":{{"Address":"{}","RecordBytes":{},"RequestBytes":{}}}}}"#,
            terms.heartbeat_interval.as_millis(),
            terms.max_lease_ms,
            store_link.address(),
            terms.record_bytes,
            terms.request_bytes,
        );
        fs::write(&settings_path, text).expect("the settings file can be written");
        Self {
            log_path: dir.join(format!("{name}.log")),
            log_start: std::cell::Cell::new(0),
            name,
            role,
            ip,
            store_link,
            child: RefCell::default(),
            is_stopping: std::cell::Cell::new(false),
            undisturbed_since: std::cell::Cell::new(Millis(0)),
            settings_path,
        }
    }

    /// Starts the process.
    pub fn start(
        &self,
        clock: &Rc<dyn Clock>,
    ) {
        let before = fs::metadata(&self.log_path).map_or(0, |m| m.len());
        self.log_start
            .set(usize::try_from(before).expect("the length of the log fits in usize"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path);
        let role = match self.role {
            Role::Entry => "entry",
            Role::Guard => "guard",
        };
        let child = Command::new(env!("CARGO_BIN_EXE_limpetquay"))
            .args(["platform", role])
            .env("LIMPETQUAY_BOOT", &self.settings_path)
            .stdin(Stdio::null())
            .stdout(log.expect("the log file can be opened"))
            .stderr(Stdio::inherit())
            .spawn();
        *self.child.borrow_mut() = Some(child.expect("the process starts"));
        self.undisturbed_since.set(clock.now());
    }

    /// Sends a signal to the process.
    pub fn signal(
        &self,
        signal: Signal,
    ) {
        if let Some(child) = &*self.child.borrow() {
            let pid = Pid::from_child(child);
            // A child that has ended can be signalled until it is waited for. Its end is detected
            // by `find_fault`.
            kill_process(pid, signal)
                .expect("the process can be signalled, as it was not waited for");
        }
    }

    /// Returns whether the process has a handler for SIGHUP, which ends it otherwise.
    pub fn handles_reloads(&self) -> bool {
        let child = self.child.borrow();
        let id = child.as_ref().map_or(0, std::process::Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let caught = status.lines().find_map(|l| l.strip_prefix("SigCgt:"));
        let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
        mask.is_some_and(|mask| mask & 1 == 1)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
        if let Some(mut child) = self.child.borrow_mut().take() {
            child.wait().expect("the killed process can be waited for");
        }
    }

    /// Returns whether a process that was signalled to stop has ended as required, or `None` while
    /// it runs. It has to exit with success and log `stopped`, unless the signal came before it
    /// logged `starting`.
    pub fn take_stop_result(&self) -> Option<bool> {
        let mut child = self.child.borrow_mut();
        let status = child
            .as_mut()?
            .try_wait()
            .expect("the process is a child")?;
        *child = None;
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let own_lines = &log[self.log_start.get().min(log.len())..];
        let has_started = own_lines.contains("\"message\":\"starting\"");
        let has_stopped = own_lines.contains("\"message\":\"stopped\"");
        Some(!has_started || status.success() && has_stopped)
    }

    /// Returns the number of calls about a job that the node has read and answered, according to
    /// its log.
    pub fn answered_calls(
        &self,
        id: &str,
    ) -> usize {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains("caller answered"));
        lines.filter(|l| l.contains(id)).count()
    }

    /// Returns the log of the node's processes.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Returns the last term in which the node has claimed the lead, according to its log; `None`
    /// if it never has.
    pub fn last_term(&self) -> Option<u64> {
        let log = self.log();
        let claim = log.lines().rfind(|l| l.contains("claimed the lead"))?;
        let (_, rest) = claim.split_once("\"term\":")?;
        let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
        digits.parse().ok()
    }

    /// Returns when a line with a text was last logged; `None` if there is none.
    pub fn last_time_of(
        &self,
        text: &str,
    ) -> Option<String> {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        let line = log.lines().rfind(|l| l.contains(text))?;
        line.split('"').nth(3).map(str::to_owned)
    }

    /// Returns a description if the process has ended unexpectedly or has exceeded its memory
    /// limit.
    pub fn find_fault(&self) -> Option<String> {
        let mut running = self.child.borrow_mut();
        let child = running.as_mut()?;
        if let Some(status) = child.try_wait().expect("the process is a child") {
            *running = None;
            return Some(format!("ended unexpectedly: {status}"));
        }
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let peak_kb: u64 = peak.split_whitespace().next()?.parse().ok()?;
        let limit_mb = MEMORY_LIMIT_MB[self.role as usize];
        (peak_kb > limit_mb << 10)
            .then(|| format!("used {peak_kb} kB of memory, above its limit of {limit_mb} MB"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn ip(
    subnet: [u8; 2],
    host: u8,
) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet[0], subnet[1], host)
}

pub fn address(
    ip: Ipv4Addr,
    port: u16,
) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(ip), port)
}
