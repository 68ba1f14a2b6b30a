//! Tests of how a guard detects the end of its worker.

use {
    limpetquay::{
        connection::WorkerIncarnation,
        prelude::*,
        process::{
            runs::{RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo},
            scheduler::{LeaseTerms, RackFirstPlacement, Scheduler},
        },
        request::Resources,
    },
    std::collections::BTreeSet,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);

fn heartbeat(
    sequence: u64,
    leaving_ms: Option<u64>,
) -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: WorkerAddress {
            address: "127.0.0.1:1".into(),
            life: WorkerIncarnation {
                id: "w-1".into(),
                started_at_ms: 1,
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

/// Returns when a worker that refuses connections from 1,000 ms on is considered ended, in
/// milliseconds. `heartbeats` has the time of each heartbeat and the remaining time that it
/// announces, both in milliseconds; at `accepted_at` the worker accepts a connection.
fn ended_at(
    heartbeats: &[(u64, Option<u64>)],
    accepted_at: Option<u64>,
) -> Option<u64> {
    let mut tracker = RunTracker::default();
    let mut sequence = 0;
    for now in (0..9000).step_by(50) {
        for (_, leaving_ms) in heartbeats.iter().filter(|(at, _)| *at == now) {
            sequence += 1;
            tracker.apply_heartbeat(heartbeat(sequence, *leaving_ms), Millis(now));
        }
        if accepted_at == Some(now) {
            tracker.clear_refused_connections();
        } else if now >= 1000 && now % 150 == 0 {
            let is_ended = tracker.record_refused_connection(Millis(now), HEARTBEAT_INTERVAL);
            if is_ended {
                return Some(now);
            }
        }
    }
    None
}

/// A worker has ended when it refuses connections and a heartbeat is overdue, or the remaining time
/// that it announced is over. One that continues to send heartbeats has not ended, although its
/// address refuses connections.
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

/// Guards against a lease that is counted by another process's clock: the first message of a session
/// echoes no clock, because the guard may have restarted since its last report.
#[test]
fn the_first_message_of_a_session_grants_no_lease() {
    let name = UpstreamName::from("guard-1");
    let leases = LeaseTerms::new(Millis(6000));
    let policy = Box::new(RackFirstPlacement);
    let mut scheduler = Scheduler::new(1, leases, 3, policy, BTreeSet::new(), Millis(0));
    let now = Millis(60_000);
    scheduler.confirm_leadership(now);
    scheduler.open_session(&name);
    scheduler.apply_report(&name, RunTracker::default().report(now), now);
    scheduler.open_session(&name);
    let orders = scheduler.next_message(&name, 2);
    let mut restarted = RunTracker::default();
    assert!(restarted.open_session(2));
    let restarted_for = Millis(500);
    restarted.renew_session(&orders, restarted_for);
    let lease_expires_at = restarted.session.map(|s| s.lease_expires_at);
    assert!(
        lease_expires_at <= Some(restarted_for),
        "the lease expires at {lease_expires_at:?}"
    );
}
