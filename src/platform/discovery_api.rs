//! The HTTP interface by which a worker reports to the guard on its machine.

use {
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse, WorkerIncarnation},
        prelude::*,
        process::runs::{RunGuard, WorkerAddress, WorkerHeartbeat, WorkerInfo},
        request::Resources,
    },
    serde::Deserialize,
};

/// The size limit of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 256 << 10;

/// The HTTP handler for heartbeats and deregistrations of workers.
pub struct DiscoveryApi {
    guard: Rc<RunGuard>,
}

/// A worker's heartbeat. `sequence` numbers the heartbeats of one worker incarnation.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireHeartbeat {
    service: Arc<str>,
    address: Arc<str>,
    state: WireState,
    sequence: u64,
    capacity: WireCapacity,
    labels: Vec<Arc<str>>,
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default, rename = "born")]
    born: u64,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum WireState {
    InService,
    Draining,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireCapacity {
    cpu: u64,
    mem_mb: u64,
    #[serde(default)]
    gpu: u64,
}

/// What a deregistration says of the worker.
#[derive(Default, Deserialize)]
struct WireDeparture {
    #[serde(default)]
    born: Option<u64>,
}

impl DiscoveryApi {
    /// Creates the handler of a guard.
    pub fn new(guard: Rc<RunGuard>) -> Self {
        Self { guard }
    }

    fn handle_heartbeat(
        &self,
        id: &str,
        body: &[u8],
    ) -> HttpResponse {
        match serde_json::from_slice::<WireHeartbeat>(body) {
            Ok(heartbeat) => {
                self.guard.apply_heartbeat(decode_heartbeat(id, heartbeat));
                HttpResponse::new(200, "application/json", Bytes::from_static(b"{}"))
            }
            Err(e) => {
                tracing::warn!(id, error = %e, "rejected a malformed heartbeat");
                HttpResponse::text(400, "the heartbeat cannot be read")
            }
        }
    }
}

impl HttpHandler for DiscoveryApi {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            match req.segments().as_slice() {
                ["Instances.Heartbeat", id] => self.handle_heartbeat(id, &req.body),
                ["Instances.Deregister", id] => {
                    self.guard
                        .apply_deregistration(id, decode_born(id, &req.body));
                    HttpResponse::new(200, "application/json", Bytes::from_static(b"{}"))
                }
                _ => HttpResponse::text(404, "there is no such call"),
            }
        })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_HEARTBEAT_BYTES
    }
}

/// Decodes the start time in a deregistration; `None` if it has none or cannot be read.
fn decode_born(
    id: &str,
    body: &[u8],
) -> Option<u64> {
    if body.is_empty() {
        return None;
    }
    let departure: Result<WireDeparture, _> = serde_json::from_slice(body);
    if let Err(e) = &departure {
        tracing::warn!(id, error = %e, "cannot decode a deregistration; it counts for any life of its ID");
    }
    departure.unwrap_or_default().born
}

fn decode_heartbeat(
    id: &str,
    heartbeat: WireHeartbeat,
) -> WorkerHeartbeat {
    let is_leaving = heartbeat.state == WireState::Draining;
    WorkerHeartbeat {
        worker: WorkerAddress {
            address: heartbeat.address,
            life: WorkerIncarnation {
                id: id.into(),
                started_at_ms: heartbeat.born,
            },
        },
        sequence: heartbeat.sequence,
        info: WorkerInfo {
            service: heartbeat.service,
            capacity: Resources {
                cpu_milli: heartbeat.capacity.cpu,
                memory_mb: heartbeat.capacity.mem_mb,
                accelerators: heartbeat.capacity.gpu,
            },
            labels: heartbeat.labels,
            leaving_ms: is_leaving.then(|| heartbeat.remaining_ms.unwrap_or(0.0) as u64),
        },
    }
}
