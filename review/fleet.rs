//! A small deployment: the project's programs as processes, the store, and clients.

use super::{
    http::{Server, call},
    record::Record,
    store::Store,
};
use std::{
    env,
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio, id},
    sync::Arc,
    thread,
    time::Duration,
};

const PROGRAM: &str = "target/release/limpetquay";
pub const KEY: &str = "kopano-key";
pub const HOST: &str = "triage.example";
pub const PREFIX: &str = "/sweep/";

/// The configuration that the operator stores: one queue and one tenant.
const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"sweep","Host":"triage.example",
"PathPrefix":"/sweep/","Service":"triagehub","Priority":1,"Attempts":4,"Stretch":3.0,
"TargetLatencyMs":1200}],"Services":[{"Name":"triagehub"}],"Limits":{"MaxHeaderBytes":16384,
"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t","ApiKeys":["kopano-key"],"Guaranteed":{"Gpu":0}}]}"#;

/// A process of the system, which is killed when it is dropped.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn address(
        &self,
        port: u16,
    ) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .args(["platform", self.role])
            .env("LIMPETQUAY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All processes of a script and the store. `folder` holds settings and logs, and is removed at the
/// end unless KEEP is set.
pub struct Fleet {
    pub store: Arc<Store>,
    pub entries: Vec<Process>,
    pub guards: Vec<Process>,
    pub record: Arc<Record>,
    folder: PathBuf,
    _server: Server,
}

impl Fleet {
    pub fn start(
        entries: u8,
        guards: u8,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let folder = env::temp_dir().join(format!("limpetquay-review-{}", id()));
        fs::create_dir_all(&folder)?;
        let subnet = free_subnet()?;
        let store_address = SocketAddr::from((subnet(250), 9000));
        let (store, server) = Store::start(store_address)?;
        store.put("keyed.op", "config", CONFIG.as_bytes());
        let mut fleet = Self {
            store,
            entries: Vec::new(),
            guards: Vec::new(),
            record: record.clone(),
            folder,
            _server: server,
        };
        for i in 0..entries + guards {
            let (role, name) = if i < entries {
                ("entry", format!("edge-jozi-north-{}", i + 1))
            } else {
                ("guard", format!("side-jozi-north-{}", i - entries + 1))
            };
            let process = fleet.process(name, role, subnet(i + 1), store_address)?;
            if role == "entry" {
                fleet.entries.push(process);
            } else {
                fleet.guards.push(process);
            }
        }
        for process in fleet.entries.iter_mut().chain(&mut fleet.guards) {
            process.start()?;
        }
        Ok(fleet)
    }

    fn process(
        &self,
        name: String,
        role: &'static str,
        ip: Ipv4Addr,
        store: SocketAddr,
    ) -> io::Result<Process> {
        let settings = self.folder.join(format!("{name}.json"));
        let class = if role == "entry" { "edge" } else { "side" };
        let share = if role == "entry" { 0.25 } else { 0.15 };
        let text = format!(
            r#"{{"NodeName":"{name}","Role":"{role}","MachineClass":"{class}","Serves":["{class}"],
"Ip":"{ip}","Zone":"jozi-north","Region":"jozi","Zones":{{"jozi-north":"jozi"}},
"ListenAddrs":{{"Frontend":"{ip}:8521","Ready":"{ip}:8523","ControlPlane":"{ip}:8526"}},
"InternalPortRange":[7000,7015],"SeedNodes":[],"Bootstrap":true,
"Limits":{{"CpuShare":{share},"CpuCores":1,"MemoryMb":260,"MaxFds":4100,"LinkSpeedMbps":1000.0,"DiskMb":0}},
"DataDir":null,"Discovery":"local","EntryPoint":"vip","HeartbeatMs":1500,"CommandMode":"call",
"Bounds":{{"ContactTimeoutMs":4000,"AckTimeoutMs":5000,"DrainTimeoutMs":2500,"GracePeriodS":6,
"ConfigApplyMs":2500,"MaxHoldMs":6000,"StopTimeoutMs":200,"GangTimeoutMs":3000,"cancel_ms":3000,
"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"RemoteFactor":3}},
"platform":{{"Address":"{store}","form":"log","WritesPerS":800,"ReadsPerS":2000,"parts":24,
"AppendMs":1.0,"RecordBytes":262144,"RequestBytes":2097152,"keep_s":300,"MinTtlMs":1000}}}}"#
        );
        fs::write(&settings, text)?;
        Ok(Process {
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            role,
            settings,
            child: None,
        })
    }

    /// Waits until all entries report that they are ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        for _ in 0..200 {
            let timeout = Duration::from_millis(500);
            let is_ready = |p: &Process| {
                let answer = call(p.address(8523), "GET", "/readiness", &[], b"", timeout);
                answer.is_ok_and(|(status, _)| status == 200)
            };
            if self.entries.iter().all(is_ready) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the entries do not become ready"))
    }

    /// Makes a client's call and records it. Returns the status, 0 without an answer, and the body.
    pub fn client_call(
        &self,
        entry: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> (u16, String) {
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("credential", KEY),
            ("deadline-ms", "3000"),
        ];
        let path = format!("{PREFIX}{id}");
        let address = self.entries[entry].address(8521);
        let timeout = Duration::from_millis(3000);
        let answer = call(address, method, &path, &headers, body.as_bytes(), timeout);
        let (status, body) = answer.unwrap_or((0, Vec::new()));
        let body = String::from_utf8_lossy(&body).into_owned();
        let name = &self.entries[entry].name;
        self.record
            .line(&format!("client {method} {id} at {name}: {status} {body}"));
        (status, body)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.guards.clear();
        if env::var_os("KEEP").is_none() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

/// Returns a function for the addresses of a loopback subnet in which nothing listens.
fn free_subnet() -> io::Result<impl Fn(u8) -> Ipv4Addr> {
    for attempt in 0..100 {
        let number = id() + attempt * 31;
        let (b, c) = ((100 + number / 200 % 100) as u8, (number % 200) as u8);
        let ip = move |d| Ipv4Addr::new(127, b, c, d);
        let is_free = [(1, 8521), (1, 7000), (250, 9000)]
            .iter()
            .all(|(d, port)| TcpListener::bind((ip(*d), *port)).is_ok());
        if is_free {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no free ports"))
}
