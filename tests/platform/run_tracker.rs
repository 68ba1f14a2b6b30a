//! Tests of how a guard detects the end of its worker.

use {
    limpetquay::{
        connection::WorkerIncarnation,
        prelude::*,
        process::{
            runs::{PollResponse, RunTracker, WorkerAddress, WorkerHeartbeat, WorkerInfo},
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

/// A worker without a lease has ended when it refuses connections and a heartbeat is overdue, or the
/// remaining time that it announced is over. One that continues to send heartbeats has not ended,
/// although its address refuses connections.
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

/// Guards against runs that are taken for ended while their lease lasts: a worker that refuses
/// connections and sends no heartbeat looks gone, but counts as ended only after the
/// last lease, which the guard no longer extends. A returning worker ends that. One that has announced
/// its end is granted shorter leases.
#[test]
fn a_worker_that_seems_to_have_ended_keeps_its_lease() {
    let mut course = Vec::new();
    for (returns_at, leaving_ms) in [(None, None), (Some(4000), None), (None, Some(1500))] {
        let mut tracker = RunTracker::default();
        tracker.apply_heartbeat(heartbeat(1, leaving_ms), Millis(0));
        assert!(tracker.open_session(1));
        let response = PollResponse {
            clock_ms: 0,
            born_ms: None,
            running: vec![],
            ended: vec![],
            is_complete: true,
        };
        tracker.apply_poll(1, Millis(0), Millis(0), response);
        if let Some(session) = &mut tracker.session {
            session.lease_expires_at = Millis(20_000);
            session.worker_lease = Millis(5000);
        }
        let granted = tracker.deadline_ms(Millis(100));
        let (mut gone_at, mut ended_at) = (None, None);
        for now in (200..9000).step_by(50) {
            if returns_at == Some(now) {
                tracker.clear_refused_connections();
            } else if returns_at.is_none_or(|at| now < at) {
                tracker.record_refused_connection(Millis(now), HEARTBEAT_INTERVAL);
            }
            if tracker.is_worker_gone() && gone_at.is_none() {
                gone_at = Some(now);
                tracker.withdraw_registration();
                let remaining = tracker.remaining_lease(Millis(now));
                course.push(format!(
                    "gone at {now} with a lease of {} ms, extended: {:?}",
                    Millis::from(remaining).0,
                    tracker.deadline_ms(Millis(now))
                ));
            }
            if tracker.has_worker_ended() && ended_at.is_none() {
                ended_at = Some(now);
            }
        }
        course.push(format!(
            "granted {granted:?}, ended at {ended_at:?}, gone in the end: {}",
            tracker.is_worker_gone()
        ));
    }
    insta::assert_debug_snapshot!(course);
}

/// Guards against two runs of one subtask: a worker that is cut off while it is leaving may run on beyond the
/// remaining time that it has announced, which is a minimum. Has, for each time of the last answered poll, when
/// its last lease expires and when the worker counts as ended.
#[test]
fn a_leaving_worker_that_is_cut_off_keeps_its_lease() {
    let mut course = Vec::new();
    for last_answer in [0, 900, 2700, 4500] {
        let mut tracker = RunTracker::default();
        tracker.apply_heartbeat(heartbeat(1, None), Millis(0));
        assert!(tracker.open_session(1));
        let mut lease_expires_at = None;
        let mut ended_at = None;
        for now in (0..15_000).step_by(150) {
            let at = Millis(now);
            if now % 1500 == 0 && now <= last_answer {
                tracker.apply_heartbeat(heartbeat(now + 2, Some(2500)), at);
            }
            if now <= last_answer {
                let response = PollResponse {
                    clock_ms: now,
                    born_ms: None,
                    running: vec![],
                    ended: vec![],
                    is_complete: true,
                };
                tracker.apply_poll(1, at, at, response);
                if let Some(session) = &mut tracker.session {
                    session.lease_expires_at = Millis(60_000);
                    session.worker_lease = Millis(5000);
                }
                lease_expires_at = tracker.deadline_ms(at).or(lease_expires_at);
            } else if tracker.record_refused_connection(at, HEARTBEAT_INTERVAL) {
                ended_at = ended_at.or(Some(now));
            }
        }
        assert!(
            ended_at >= lease_expires_at,
            "{ended_at:?} before {lease_expires_at:?}"
        );
        course.push(format!(
            "last answer {last_answer}, lease until {lease_expires_at:?}, ended at {ended_at:?}"
        ));
    }
    insta::assert_debug_snapshot!(course);
}

/// Guards against a lease that lasts longer than the worker: polls that the worker refuses extend
/// nothing, so a crashed worker counts as ended one lease after the last call that may have reached
/// it.
#[test]
fn a_worker_that_refuses_polls_is_granted_no_lease() {
    let mut tracker = RunTracker::default();
    tracker.apply_heartbeat(heartbeat(1, None), Millis(0));
    assert!(tracker.open_session(1));
    let response = PollResponse {
        clock_ms: 0,
        born_ms: None,
        running: vec![],
        ended: vec![],
        is_complete: true,
    };
    tracker.apply_poll(1, Millis(0), Millis(0), response);
    if let Some(session) = &mut tracker.session {
        session.lease_expires_at = Millis(20_000);
        session.worker_lease = Millis(5000);
    }
    let ended_at = (200..9000).step_by(50).find(|now| {
        tracker.deadline_ms(Millis(*now));
        tracker.record_refused_connection(Millis(*now), HEARTBEAT_INTERVAL)
    });
    assert_eq!(ended_at, Some(5450));
}
