//! Watchers fail or leave, alone or with the upstreams that they watch.

use {
    crate::fleet::{Fleet, run_settled},
    limpetquay::prelude::*,
};

/// Returns how often the table of an entry differed from the actual state, checked ten times per
/// second over a span.
async fn count_missing(
    fleet: &Fleet,
    span: Duration,
) -> usize {
    let expected = fleet.expected_upstreams();
    let mut missing = 0;
    for _ in 0..span.as_secs() * 10 {
        fleet.wait(Duration::from_millis(100)).await;
        let known = fleet.entries.keys().map(|e| fleet.known(e));
        missing += known.filter(|k| *k != expected).count();
    }
    missing
}

/// The upstreams of a killed watcher stay known and get another watcher.
#[test]
fn a_dead_watcher_is_replaced() {
    let seen = run_settled(11, async |fleet| {
        let watcher = fleet.guards["jozi-1-w0"].announcer.watchers()[0].to_string();
        fleet.kill_entry(&watcher);
        let missing = count_missing(fleet, Duration::from_secs(20)).await;
        let now = fleet.guards["jozi-1-w0"].announcer.watchers()[0].to_string();
        vec![
            format!("checks that missed an upstream: {missing}"),
            format!("has another watcher: {}", now != watcher),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// The upstreams of a leaving watcher get other watchers before it stops, and stay known.
#[test]
fn a_leaving_watcher_hands_over() {
    let seen = run_settled(12, async |fleet| {
        let watcher = fleet.guards["jozi-1-w0"].announcer.watchers()[0].to_string();
        let entry = fleet.entries.remove(&watcher).expect("an entry");
        let start = fleet.clock.now();
        entry.membership.leave().await;
        let took = fleet.clock.now().since(start);
        fleet.network.unbind(entry.address);
        let left = entry.membership.watched_count();
        let missing = count_missing(fleet, Duration::from_secs(20)).await;
        vec![
            format!("ended within 3 s: {}", took <= Duration::from_secs(3)),
            format!("upstreams left: {left}"),
            format!("checks that missed an upstream: {missing}"),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// The upstreams of a data centre whose entries and guards all fail are dropped within the leases
/// of the entries.
#[test]
fn a_dead_data_centre_is_dropped() {
    let seen = run_settled(13, async |fleet| {
        for name in ["e-jozi-2-0", "e-jozi-2-1"] {
            fleet.kill_entry(name);
        }
        for name in ["jozi-2-w0", "jozi-2-w1", "jozi-2-w2"] {
            fleet.kill_guard(name);
        }
        let knows_none = |fleet: &Fleet, entry: &str| {
            let known = fleet.known(entry);
            !known.keys().any(|u| u.starts_with("jozi-2"))
        };
        fleet.wait(Duration::from_secs(6)).await;
        let local = knows_none(fleet, "e-jozi-1-0") && knows_none(fleet, "e-jozi-1-1");
        fleet.wait(Duration::from_secs(5)).await;
        let remote = knows_none(fleet, "e-kaap-1-0") && knows_none(fleet, "e-kaap-2-1");
        vec![
            format!("gone in its region within 6 s: {local}"),
            format!("gone in the other within 11 s: {remote}"),
            format!("differences: {:?}", fleet.differences()),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}
