//! What a guard concludes about its worker.

use limpetquay::{
    connection::WorkerLife,
    prelude::*,
    process::runs::{RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo},
    request::Resources,
};

const BEAT_INTERVAL: Duration = Duration::from_millis(1500);

fn beat(
    sequence: u64,
    leaving_ms: Option<u64>,
) -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: WorkerAddress {
            address: "127.0.0.1:1".into(),
            life: WorkerLife {
                id: "w-1".into(),
                born_ms: 1,
            },
        },
        sequence,
        info: WorkerInfo {
            service: "service".into(),
            capacity: Resources::default(),
            labels: vec!["r1".into()],
            leaving_ms,
        },
    }
}

/// Returns when a worker that refuses connections from 1,000 ms on is taken for ended, if its
/// heartbeats come at `beats`.
fn ended_at(
    beats: &[(u64, Option<u64>)],
    accepted_at: Option<u64>,
) -> Option<u64> {
    let mut book = RunTracker::default();
    let mut sequence = 0;
    for now in (0..9000).step_by(50) {
        for (_, leaving_ms) in beats.iter().filter(|(at, _)| *at == now) {
            sequence += 1;
            book.apply_heartbeat(beat(sequence, *leaving_ms), Millis(now));
        }
        if accepted_at == Some(now) {
            book.record_connection();
        } else if now >= 1000 && now % 150 == 0 {
            let is_ended = book.record_refused_connection(Millis(now), BEAT_INTERVAL);
            if is_ended {
                return Some(now);
            }
        }
    }
    None
}

/// A worker has ended when it refuses connections and a heartbeat is overdue, or when the time for
/// which it said that it would stay is over. One that goes on sending heartbeats lives.
#[test]
fn a_worker_that_refuses_connections_has_ended_once_a_heartbeat_is_overdue() {
    let regular: Vec<(u64, Option<u64>)> = (0..6).map(|i| (i * 1500, None)).collect();
    insta::assert_debug_snapshot!([
        ("crashed", ended_at(&[(0, None)], None)),
        ("crashed after a heartbeat", ended_at(&[(950, None)], None)),
        ("left in time", ended_at(&[(700, Some(300))], None)),
        ("leaves much later", ended_at(&[(700, Some(60_000))], None)),
        ("lives", ended_at(&regular, None)),
        ("accepts in between", ended_at(&[(950, None)], Some(2500))),
    ]);
}
