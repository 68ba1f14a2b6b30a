//! What a worker sends to the guard on its machine.

use {
    crate::{
        connection::{HttpHandler, HttpRequest, HttpResponse, WorkerIncarnation},
        prelude::*,
        process::runs::{RunGuard, WorkerAddress, WorkerHeartbeat, WorkerInfo},
        request::Resources,
    },
    serde::Deserialize,
};

/// The largest heartbeat that is read, in bytes.
const MAX_BEAT_BYTES: usize = 256 << 10;

/// Answers workers.
pub struct Discovery {
    guard: Rc<RunGuard>,
}

/// A worker's heartbeat. `sequence` numbers the heartbeats of one life.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireBeat {
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

impl Discovery {
    /// Creates the answering side of a guard.
    pub fn new(guard: Rc<RunGuard>) -> Self {
        Self { guard }
    }

    fn take_beat(
        &self,
        id: &str,
        body: &[u8],
    ) -> HttpResponse {
        match serde_json::from_slice::<WireBeat>(body) {
            Ok(beat) => {
                self.guard.apply_heartbeat(decode(id, beat));
                HttpResponse::new(200, "application/json", Bytes::from_static(b"{}"))
            }
            Err(e) => {
                tracing::warn!(id, error = %e, "heartbeat that cannot be read passed over");
                HttpResponse::text(400, "the heartbeat cannot be read")
            }
        }
    }
}

impl HttpHandler for Discovery {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            match req.segments().as_slice() {
                ["Instances.Heartbeat", id] => self.take_beat(id, &req.body),
                ["Instances.Deregister", id] => {
                    self.guard.apply_deregistration(id);
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
        MAX_BEAT_BYTES
    }
}

fn decode(
    id: &str,
    beat: WireBeat,
) -> WorkerHeartbeat {
    let is_leaving = beat.state == WireState::Draining;
    WorkerHeartbeat {
        worker: WorkerAddress {
            address: beat.address,
            life: WorkerIncarnation {
                id: id.into(),
                started_at_ms: beat.born,
            },
        },
        sequence: beat.sequence,
        info: WorkerInfo {
            service: beat.service,
            capacity: Resources {
                cpu_milli: beat.capacity.cpu,
                memory_mb: beat.capacity.mem_mb,
                accelerators: beat.capacity.gpu,
            },
            labels: beat.labels,
            leaving_ms: is_leaving.then(|| beat.remaining_ms.unwrap_or(0.0) as u64),
        },
    }
}
