//! A leader that is paused while its guards go on reporting, message by message.

use {
    super::one_guard::{leader, listing, open_job, response, tracker},
    limpetquay::{connection::GuardReport, prelude::*},
    std::collections::VecDeque,
};

const PAUSED_AT: u64 = 3000;

/// Plays a leader that is paused, with reports that travel for `transit_ms`. When it goes on, it runs a pass
/// before it reads what waits for it, or afterwards. Returns when the run is started on another guard, and when
/// the last lease of its worker expires, in milliseconds.
fn started_again_at(
    pause_ms: u64,
    transit_ms: u64,
    reads_first: bool,
) -> (Option<u64>, u64) {
    let (mut scheduler, name) = leader(&open_job());
    let spare = UpstreamName::from("guard-2");
    let (mut guard, mut spare_guard) = (tracker(), tracker());
    for (name, guard) in [(&name, &mut guard), (&spare, &mut spare_guard)] {
        guard.open_session(1);
        scheduler.open_session(name);
    }
    let mut socket: VecDeque<(u64, GuardReport)> = VecDeque::new();
    let (mut run, mut lease_expires_at) = (None, 0);
    for now in (0..40_000).step_by(100) {
        let at = Millis(now);
        guard.apply_poll(1, at, at, listing(run));
        guard.deadline_ms(at);
        lease_expires_at = now + Millis::from(guard.remaining_lease(at)).0;
        socket.push_back((now + transit_ms, guard.report(at)));
        if (PAUSED_AT..PAUSED_AT + pause_ms).contains(&now) {
            continue;
        }
        scheduler.confirm_leadership(at);
        spare_guard.apply_poll(1, at, at, response(true));
        let spare_report = spare_guard.report(at);
        scheduler.apply_report(&spare, spare_report, at);
        if !reads_first {
            scheduler.run_pass(at, at);
        }
        while let Some((_, report)) = socket.pop_front_if(|(arrives, _)| *arrives <= now) {
            scheduler.apply_report(&name, report, at);
        }
        scheduler.run_pass(at, at);
        let orders = scheduler.next_message(&name, 1);
        guard.apply_orders(&orders, at);
        run = run.or(orders.starts.first().map(|s| s.run));
        if !scheduler.next_message(&spare, 1).starts.is_empty() {
            return (Some(now), lease_expires_at);
        }
        if now == PAUSED_AT - 100 {
            assert!(run.is_some(), "the run is started");
            scheduler.set_stored_registration(&spare, Some(1), at);
        }
    }
    (None, lease_expires_at)
}

/// Guards against two runs of one subtask: a leader that was paused drops runs by their time before it
/// reads the reports that wait for it, which is right only if the leases have ended by then.
#[test]
fn a_paused_leader_starts_nothing_again_before_the_leases_have_ended() {
    let mut again = 0;
    for pause_ms in (0..12_000).step_by(300) {
        for transit_ms in [0, 300, 900] {
            for reads_first in [false, true] {
                let (started_at, expires_at) = started_again_at(pause_ms, transit_ms, reads_first);
                assert!(
                    started_at.is_none_or(|at| at >= expires_at),
                    "paused {pause_ms} ms, transit {transit_ms} ms: {started_at:?} before {expires_at}"
                );
                again += u32::from(started_at.is_some());
            }
        }
    }
    assert!(again > 0, "some pauses outlast the leases");
}
