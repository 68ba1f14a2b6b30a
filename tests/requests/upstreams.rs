//! Upstreams that fail, are slow, or are killed by what they run.

use {
    super::{
        fakes::WorkerMode,
        world::{DOCUMENT, World},
    },
    limpetquay::{prelude::*, process::clock::VirtualClock, request::Outcome},
    std::collections::BTreeMap,
};

/// Sends `count` requests one after the other; returns how often each site ran one and how many
/// were answered well.
async fn send_each(
    world: &World,
    kind: &str,
    count: u32,
) -> (BTreeMap<UpstreamName, u32>, u32) {
    world.runs.borrow_mut().clear();
    let mut answered = 0;
    for i in 0..count {
        let outcome = world.send(0, "alpha", kind, None, &format!("{i}")).await;
        answered += u32::from(matches!(outcome, Outcome::Answered { status: 200, .. }));
    }
    let mut sites = BTreeMap::new();
    for upstream in world.runs.borrow().values().flatten() {
        *sites.entry(upstream.clone()).or_default() += 1;
    }
    (sites, answered)
}

/// A failing upstream loses its traffic after a few failures, and wins it back after a trial.
#[test]
fn a_failing_upstream_is_ejected_and_readmitted() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 3, 4, DOCUMENT).await;
        world.sites[1].worker.mode.set(WorkerMode::Fails);
        let failing = send_each(&world, "check", 60).await;
        world.sites[1].worker.mode.set(WorkerMode::Well);
        world.sleep(3000).await;
        let recovered = send_each(&world, "check", 60).await;
        [failing, recovered]
    });
    insta::assert_debug_snapshot!(told);
}

/// A slow upstream loses most of its traffic and gets it back when it is fast again.
#[test]
fn a_slow_upstream_loses_traffic_and_wins_it_back() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 3, 4, DOCUMENT).await;
        world.sites[1].worker.mode.set(WorkerMode::Slow);
        let slow = send_each(&world, "check", 60).await;
        world.sites[1].worker.mode.set(WorkerMode::Well);
        world.sleep(60_000).await;
        let recovered = send_each(&world, "check", 60).await;
        [slow, recovered]
    });
    insta::assert_debug_snapshot!(told);
}

/// A request that kills what runs it is refused after three upstreams, and the others are served.
#[test]
fn a_killing_request_does_not_take_the_fleet_down() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 6, 4, DOCUMENT).await;
        let mut outcomes = Vec::new();
        for _ in 0..20 {
            let outcome = world.send(0, "alpha", "check", None, "poison").await;
            outcomes.push(match outcome {
                Outcome::NotRun(reason) => reason.label(),
                Outcome::Unknown => "unknown",
                _ => "other",
            });
        }
        let runs: usize = world.runs.borrow().values().map(Vec::len).sum();
        let others = send_each(&world, "check", 30).await;
        (outcomes.join(" "), runs, others.1)
    });
    insta::assert_debug_snapshot!(told);
}

/// When every upstream looks bad, requests are still sent.
#[test]
fn when_all_look_bad_requests_are_still_sent() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 3, 4, DOCUMENT).await;
        for site in &world.sites {
            site.worker.mode.set(WorkerMode::Fails);
        }
        send_each(&world, "sweep", 40).await;
        for site in &world.sites {
            site.worker.mode.set(WorkerMode::Well);
        }
        send_each(&world, "sweep", 20).await.1
    });
    insta::assert_debug_snapshot!(told);
}

/// With the faster upstreams nearly full, requests wait for them rather than take a free slot of
/// an upstream that is ten times as slow.
#[test]
fn a_busy_fleet_waits_rather_than_use_a_slow_upstream() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 3, 4, DOCUMENT).await;
        world.sites[1].worker.mode.set(WorkerMode::Slow);
        send_each(&world, "check", 60).await;
        world.runs.borrow_mut().clear();
        let callers = (0..16).map(|caller| {
            let world = world.clone();
            compio::runtime::spawn(async move {
                for i in 0..20 {
                    let body = format!("{caller}.{i}");
                    world.send(0, "alpha", "check", None, &body).await;
                }
            })
        });
        futures_util::future::join_all(callers.collect::<Vec<_>>()).await;
        let runs = world.runs.borrow();
        let slow = world.sites[1].worker.name.clone();
        let at_slow = runs.values().flatten().filter(|u| **u == slow).count();
        (runs.len(), at_slow)
    });
    insta::assert_debug_snapshot!(told);
}
