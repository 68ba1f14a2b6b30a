//! Tests of the leases that a leader and a guard grant.

use {
    super::one_guard::{heartbeat, leader, listing, open_job, response},
    limpetquay::{prelude::*, process::runs::RunTracker},
};

/// Guards against a lease that the leader does not count: a guard that has restarted reports without
/// its worker, which may answer right after the report.
#[test]
fn a_report_without_the_worker_grants_no_lease() {
    let job = open_job();
    let (mut leader, name) = leader(&job);
    let mut guard = RunTracker::default();
    leader.open_session(&name);
    let first = leader.next_message(&name, 1);
    assert!(guard.open_session(1));
    guard.apply_orders(&first, Millis(0));
    leader.apply_report(&name, guard.report(Millis(0)), Millis(0));
    let orders = leader.next_message(&name, 1);
    guard.apply_orders(&orders, Millis(10));
    guard.apply_heartbeat(heartbeat(), Millis(20));
    guard.apply_poll(1, Millis(20), Millis(20), response(true));
    let unseen = guard.deadline_ms(Millis(30));
    leader.apply_report(&name, guard.report(Millis(30)), Millis(30));
    let orders = leader.next_message(&name, 1);
    guard.apply_orders(&orders, Millis(40));
    let seen = guard.deadline_ms(Millis(50));
    assert_eq!((unseen, seen), (None, Some(5130)));
}

/// Guards against a lease that is forgotten: a heartbeat of another life of the worker does not show
/// that the runs of the earlier one are over.
#[test]
fn a_heartbeat_of_another_life_leaves_the_lease_of_the_worker() {
    let job = open_job();
    let (mut leader, name) = leader(&job);
    let mut guard = RunTracker::default();
    guard.apply_heartbeat(heartbeat(), Millis(0));
    leader.open_session(&name);
    assert!(guard.open_session(1));
    guard.apply_poll(1, Millis(0), Millis(0), response(true));
    leader.apply_report(&name, guard.report(Millis(0)), Millis(0));
    let orders = leader.next_message(&name, 1);
    guard.apply_orders(&orders, Millis(0));
    assert_eq!(guard.deadline_ms(Millis(0)), Some(5100));
    let granted = guard.remaining_lease(Millis(1000));
    let mut other = heartbeat();
    other.worker.life.started_at_ms += 1;
    guard.apply_heartbeat(other, Millis(1000));
    assert_eq!(guard.remaining_lease(Millis(1000)), granted);
}

/// Returns when the only run on a worker is ordered to stop, in milliseconds. It makes `percent` of its
/// progress in a second; at 1,000 ms the worker announces that it leaves after 4,000 ms.
fn stopped_at(percent: u64) -> Option<u64> {
    let job = open_job();
    let (mut leader, name) = leader(&job);
    let mut guard = RunTracker::default();
    guard.apply_heartbeat(heartbeat(), Millis(0));
    leader.open_session(&name);
    assert!(guard.open_session(1));
    guard.apply_poll(1, Millis(0), Millis(0), response(true));
    let mut run = None;
    (0..5000).step_by(100).find(|at| {
        let now = Millis(*at);
        if *at == 1000 {
            let mut leaving = heartbeat();
            leaving.sequence = 2;
            leaving.info.leaving_ms = Some(4000);
            guard.apply_heartbeat(leaving, now);
        }
        let mut listed = listing(run);
        for status in &mut listed.running {
            status.progress_percent = percent * at / 1000;
        }
        guard.apply_poll(1, now, now, listed);
        leader.confirm_leadership(now);
        leader.apply_report(&name, guard.report(now), now);
        leader.run_pass(now, now);
        let orders = leader.next_message(&name, 1);
        guard.apply_orders(&orders, now);
        run = run.or(orders.starts.first().map(|s| s.run));
        !orders.stops.is_empty()
    })
}

/// Guards against work that waits for the lease of a worker after it has left: what does not finish
/// before is stopped while the worker can still list its end.
#[test]
fn runs_that_outlast_a_leaving_worker_are_stopped_before_it_leaves() {
    assert_eq!([0, 10, 25].map(stopped_at), [Some(3500), Some(3500), None]);
}
