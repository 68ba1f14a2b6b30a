//! Orders that are lost, late, too many for one message, or for a worker that has been replaced.

use {
    super::one_guard::{heartbeat, job_of, leader, listing, open_job, response, tracker},
    limpetquay::{
        connection::{MAX_FRAME_BYTES, WorkerIncarnation},
        prelude::*,
        process::runs::RunTracker,
        request::RunRef,
    },
};

/// Guards against a run that goes on although its job was cancelled: its guard has restarted and
/// receives the stop before it knows its worker.
#[test]
fn a_stop_that_was_not_carried_out_is_ordered_again() {
    let mut job = open_job();
    let (mut scheduler, name) = leader(&job);
    scheduler.open_session(&name);
    let mut guard = tracker();
    guard.open_session(1);
    guard.apply_poll(1, Millis(0), Millis(0), response(true));
    scheduler.apply_report(&name, guard.report(Millis(0)), Millis(0));
    scheduler.run_pass(Millis(0), Millis(0));
    let run = *scheduler.upstreams[&name]
        .runs
        .keys()
        .next()
        .expect("a run");
    let mut restarted = RunTracker::default();
    restarted.open_session(2);
    scheduler.open_session(&name);
    job.is_cancelled = true;
    scheduler.apply_job(&job);
    let mut course = Vec::new();
    for now in (100..600).step_by(100).map(Millis) {
        scheduler.confirm_leadership(now);
        let orders = scheduler.next_message(&name, 2);
        let calls = restarted.apply_orders(&orders, now).len();
        course.push(format!(
            "stops ordered: {}, calls: {calls}",
            orders.stops.len()
        ));
        if now == Millis(200) {
            restarted.apply_heartbeat(heartbeat(), now);
            restarted.apply_poll(2, now, now, listing(Some(run)));
        }
        scheduler.apply_report(&name, restarted.report(now), now);
    }
    insta::assert_debug_snapshot!(course);
}

/// Guards against a job that is accepted and never starts: the starts for one guard exceed what a
/// frame carries, so the session ends, and the next one builds the same message. Review `long-specs`.
#[test]
fn starts_that_exceed_a_frame_are_sent_in_several() {
    let mut job = job_of(1100, &"x".repeat(4000));
    let (mut scheduler, name) = leader(&job);
    scheduler.open_session(&name);
    let mut guard = tracker();
    guard.open_session(1);
    guard.apply_poll(1, Millis(0), Millis(0), response(true));
    scheduler.apply_report(&name, guard.report(Millis(0)), Millis(0));
    scheduler.run_pass(Millis(0), Millis(0));
    let mut course = Vec::new();
    while scheduler.has_orders(&name) {
        let orders = scheduler.next_message(&name, 1);
        let encoded = postcard::to_stdvec(&orders).expect("an encoded message");
        assert!(
            encoded.len() <= MAX_FRAME_BYTES,
            "a message of {} bytes",
            encoded.len()
        );
        let calls = guard.apply_orders(&orders, Millis(0)).len();
        scheduler.apply_report(&name, guard.report(Millis(0)), Millis(0));
        let placed = scheduler.upstreams[&name].runs.len();
        course.push(format!(
            "starts: {}, stops: {}, calls: {calls}, placed: {placed}",
            orders.starts.len(),
            orders.stops.len()
        ));
        if course.len() == 2 {
            job.is_cancelled = true;
            scheduler.apply_job(&job);
        }
    }
    insta::assert_debug_snapshot!(course);
}

/// Guards against two runs of one subtask: a worker that restarts under its ID accepts a start that was
/// sent to its earlier incarnation, whose runs are lost. The next session shows what arrived.
#[test]
fn a_start_that_reaches_the_next_incarnation_of_a_worker_is_kept() {
    let (mut scheduler, name) = leader(&open_job());
    let mut guard = tracker();
    let mut course = Vec::new();
    let mut started = None;
    for (at, token) in [(0, 1), (100, 1), (200, 1), (300, 2), (400, 2)] {
        let now = Millis(at);
        scheduler.confirm_leadership(now);
        if guard.open_session(token) {
            scheduler.open_session(&name);
        }
        if at == 200 {
            let mut restarted = heartbeat();
            restarted.worker.life.started_at_ms = 2;
            guard.apply_heartbeat(restarted, now);
        } else {
            guard.apply_poll(token, now, now, listing(started));
        }
        // The leader closes a session whose reports have another token.
        let report = guard.report(now);
        if report.token == token {
            scheduler.apply_report(&name, report, now);
        }
        scheduler.run_pass(now, now);
        let orders = scheduler.next_message(&name, token);
        started = orders
            .starts
            .first()
            .map_or(started, |start| Some(start.run));
        guard.apply_orders(&orders, now);
        course.push(format!(
            "{at} ms: session open {}, starts ordered {}, stops ordered {}",
            guard.is_session_open(token),
            orders.starts.len(),
            orders.stops.len()
        ));
    }
    insta::assert_debug_snapshot!(course);
}

/// Guards against two runs of one subtask: a start that waits for its message when another worker
/// takes the place of the one that it is for, whose runs are lost.
#[test]
fn a_start_that_was_not_sent_does_not_reach_the_next_worker() {
    let (mut scheduler, name) = leader(&open_job());
    scheduler.open_session(&name);
    let mut guard = tracker();
    guard.open_session(1);
    for started_at_ms in [1, 2] {
        let mut heartbeat = heartbeat();
        heartbeat.worker.life = WorkerIncarnation {
            id: format!("w-{started_at_ms}").into(),
            started_at_ms,
        };
        guard.apply_heartbeat(heartbeat, Millis(0));
        guard.apply_poll(1, Millis(0), Millis(0), response(true));
        scheduler.apply_report(&name, guard.report(Millis(0)), Millis(0));
        scheduler.run_pass(Millis(0), Millis(0));
    }
    let orders = scheduler.next_message(&name, 1);
    let ordered: Vec<RunRef> = orders.starts.iter().map(|s| s.run).collect();
    let placed: Vec<RunRef> = scheduler.upstreams[&name].runs.keys().copied().collect();
    assert_eq!(ordered, placed);
}
