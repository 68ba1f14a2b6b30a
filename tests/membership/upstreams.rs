//! Every entry knows every upstream, whichever entry watches it.

use {
    crate::{
        entries::PLACES,
        fleet::{Fleet, run_settled},
        network::NetworkConditions,
    },
    limpetquay::{
        prelude::*,
        process::{clock::VirtualClock, membership::ServingState},
    },
};

/// New, draining, leaving and killed upstreams are observed by all entries within the stated
/// bounds.
#[test]
fn upstreams_come_and_go() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let seen = clock.block_on(async move {
        let mut fleet = Fleet::new(cx, 1);
        fleet.populate(&PLACES, 2, 3);
        let within = Duration::from_secs;
        let mut seen = Vec::new();
        let found = fleet.wait_until(within(5), Fleet::is_settled).await;
        seen.push(format!("known within 5 s: {}", found.is_some()));
        fleet.change_guard("jozi-1-w0", |a| a.serving = ServingState::Draining);
        let draining = fleet.wait_until(within(3), Fleet::is_settled).await;
        seen.push(format!("draining known within 3 s: {}", draining.is_some()));
        let leaver = fleet.guards.remove("jozi-1-w0").expect("a guard");
        leaver.announcer.leave().await;
        let left = fleet.wait_until(within(3), Fleet::is_settled).await;
        seen.push(format!("left within 3 s: {}", left.is_some()));
        fleet.kill_guard("kaap-1-w1");
        let dead = fleet.wait_until(within(5), Fleet::is_settled).await;
        seen.push(format!("dead dropped within 5 s: {}", dead.is_some()));
        seen.extend(fleet.differences());
        seen
    });
    insta::assert_debug_snapshot!(seen);
}

/// Returns the primary watcher of a guard.
fn primary(
    fleet: &Fleet,
    guard: &str,
) -> String {
    fleet.guards[guard].announcer.watchers()[0].to_string()
}

/// A guard whose path to its watcher is broken stays known and gets another watcher.
#[test]
fn a_broken_path_loses_no_upstream() {
    let seen = run_settled(2, async |fleet| {
        let watcher = primary(fleet, "jozi-1-w1");
        let ends = (
            fleet.guards["jozi-1-w1"].address,
            fleet.entries[&watcher].address,
        );
        fleet.network.break_path(ends.0, ends.1);
        let mut missing = 0;
        for _ in 0..200 {
            fleet.wait(Duration::from_millis(100)).await;
            let known = |e: &String| fleet.known(e).contains_key("jozi-1-w1");
            missing += fleet.entries.keys().filter(|e| !known(e)).count();
        }
        let changed = primary(fleet, "jozi-1-w1") != watcher;
        vec![
            format!("times missing: {missing}"),
            format!("has another watcher: {changed}"),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// After all entries are replaced at once, the new ones know the fleet within seconds, with the old
/// addresses or with new ones.
#[test]
fn restarted_entries_learn_the_fleet() {
    let seen = run_settled(3, async |fleet| {
        let mut seen = Vec::new();
        for (round, moved) in [("same addresses", false), ("new addresses", true)] {
            let names: Vec<String> = fleet.entries.keys().cloned().collect();
            let mut killed = Vec::new();
            for name in &names {
                killed.extend(fleet.kill_entry(name));
            }
            for (name, old) in names.iter().zip(killed) {
                let address = if moved {
                    fleet.fresh_address()
                } else {
                    old.address
                };
                fleet.start_entry(name, old.place, address);
            }
            let limit = Duration::from_secs(8);
            let learnt = fleet.wait_until(limit, Fleet::is_settled).await;
            seen.push(format!("{round}: within 8 s {}", learnt.is_some()));
            seen.extend(fleet.differences());
            fleet.wait(Duration::from_secs(20)).await;
        }
        seen
    });
    insta::assert_debug_snapshot!(seen);
}

/// A new upstream at the address of a killed one replaces it; late announcements of the killed one
/// change nothing.
#[test]
fn an_address_is_reused() {
    let seen = run_settled(4, async |fleet| {
        let old = fleet.kill_guard("kaap-2-w0").expect("a guard");
        fleet.start_guard("kaap-2-w7", PLACES[3], old.address);
        let limit = Duration::from_secs(3);
        let replaced = fleet.wait_until(limit, Fleet::is_settled).await;
        let late = old.announcement.borrow().clone();
        let now = fleet.clock.now();
        for entry in fleet.entries.values() {
            entry
                .members
                .borrow_mut()
                .apply_announcement(now, late.clone());
        }
        vec![
            format!("replaced within 3 s: {}", replaced.is_some()),
            format!("differences: {:?}", fleet.differences()),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// A restarted guard replaces its earlier incarnation, whose late announcements are ignored.
#[test]
fn a_restarted_guard_replaces_itself() {
    let seen = run_settled(5, async |fleet| {
        let old = fleet.kill_guard("jozi-2-w0").expect("a guard");
        let address = fleet.fresh_address();
        fleet.start_guard("jozi-2-w0", PLACES[1], address);
        let limit = Duration::from_secs(3);
        let replaced = fleet.wait_until(limit, Fleet::is_settled).await;
        let mut late = old.announcement.borrow().clone();
        late.sequence += 1000;
        let now = fleet.clock.now();
        let accepting = fleet.entries.values().filter(|e| {
            let mut members = e.members.borrow_mut();
            members.apply_announcement(now, late.clone())
        });
        vec![
            format!("replaced within 3 s: {}", replaced.is_some()),
            format!(
                "entries that accepted a late datagram: {}",
                accepting.count()
            ),
            format!("differences: {:?}", fleet.differences()),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// A paused guard is reported as lost, and all tables converge after the pause of a guard and an
/// entry.
#[test]
fn paused_hosts_come_back() {
    let seen = run_settled(6, async |fleet| {
        let guard = fleet.guards["jozi-1-w2"].address;
        let entry = fleet.entries["e-kaap-1-0"].address;
        for address in [guard, entry] {
            fleet.network.pause(address);
        }
        fleet.wait(Duration::from_secs(20)).await;
        let known = fleet.known("e-jozi-2-0").contains_key("jozi-1-w2");
        for address in [guard, entry] {
            fleet.network.resume(address);
        }
        let limit = Duration::from_secs(20);
        let settled = fleet.wait_until(limit, Fleet::is_settled).await;
        vec![
            format!("the paused guard counts as live: {known}"),
            format!("settled within 20 s: {}", settled.is_some()),
            format!("differences: {:?}", fleet.differences()),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// Tables stay filled on a network that loses a fifth of all datagrams, duplicates some and
/// reorders them.
#[test]
fn loss_empties_no_table() {
    let seen = run_settled(9, async |fleet| {
        fleet.network.set_conditions(NetworkConditions {
            loss_percent: 20,
            duplicate_percent: 5,
            max_delay_ms: 80,
        });
        let total = fleet.expected_upstreams().len();
        let (mut least, mut rounds_short) = (total, 0);
        for _ in 0..1200 {
            fleet.wait(Duration::from_millis(500)).await;
            for entry in fleet.entries.keys() {
                let known = fleet.known(entry).len();
                least = least.min(known);
                rounds_short += usize::from(known < total);
            }
        }
        vec![
            format!("a table was below a half: {}", least < total / 2),
            format!(
                "checks that missed one, above 5%: {}",
                rounds_short > 1200 * 8 / 20
            ),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}
