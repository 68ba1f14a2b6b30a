//! Tests of upstreams that fail, are slow, or are crashed by a request.

use {
    super::{
        fakes::WorkerMode,
        test_cluster::{DOCUMENT, TestCluster},
    },
    limpetquay::{prelude::*, process::clock::VirtualClock, request::Outcome},
    std::collections::BTreeMap,
};

/// Sends `count` requests one after the other; returns the runs by upstream and the number of
/// requests that were answered with status 200.
async fn send_each(
    cluster: &TestCluster,
    kind: &str,
    count: u32,
) -> (BTreeMap<UpstreamName, u32>, u32) {
    cluster.runs.borrow_mut().clear();
    let mut answered = 0;
    for i in 0..count {
        let outcome = cluster.send(0, "alpha", kind, None, &format!("{i}")).await;
        answered += u32::from(matches!(outcome, Outcome::Answered { status: 200, .. }));
    }
    let mut runs_by_upstream = BTreeMap::new();
    for upstream in cluster.runs.borrow().values().flatten() {
        *runs_by_upstream.entry(upstream.clone()).or_default() += 1;
    }
    (runs_by_upstream, answered)
}

/// A failing upstream is ejected after a few failures, and receives requests again after a trial.
#[test]
fn a_failing_upstream_is_ejected_and_readmitted() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let result = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 3, 4, DOCUMENT).await;
        cluster.upstreams[1].worker.mode.set(WorkerMode::Fails);
        let failing = send_each(&cluster, "check", 60).await;
        cluster.upstreams[1].worker.mode.set(WorkerMode::Healthy);
        cluster.sleep(3000).await;
        let recovered = send_each(&cluster, "check", 60).await;
        [failing, recovered]
    });
    insta::assert_debug_snapshot!(result);
}

/// A slow upstream receives few requests, and its usual number once it is fast again.
#[test]
fn a_slow_upstream_loses_traffic_and_regains_it() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let result = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 3, 4, DOCUMENT).await;
        cluster.upstreams[1].worker.mode.set(WorkerMode::Slow);
        let slow = send_each(&cluster, "check", 60).await;
        cluster.upstreams[1].worker.mode.set(WorkerMode::Healthy);
        cluster.sleep(60_000).await;
        let recovered = send_each(&cluster, "check", 60).await;
        [slow, recovered]
    });
    insta::assert_debug_snapshot!(result);
}

/// A request that crashes every upstream that runs it is rejected after three upstreams, and other
/// requests are served.
#[test]
fn a_poison_request_does_not_take_the_fleet_down() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let result = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 6, 4, DOCUMENT).await;
        let mut outcomes = Vec::new();
        for _ in 0..20 {
            let outcome = cluster.send(0, "alpha", "check", None, "poison").await;
            outcomes.push(match outcome {
                Outcome::NotRun(reason) => reason.label(),
                Outcome::Unknown => "unknown",
                _ => "other",
            });
        }
        let runs: usize = cluster.runs.borrow().values().map(Vec::len).sum();
        let others = send_each(&cluster, "check", 30).await;
        (outcomes.join(" "), runs, others.1)
    });
    insta::assert_debug_snapshot!(result);
}

/// Requests are still sent when every upstream has failed, since ejections are then ignored.
#[test]
fn requests_are_still_sent_when_every_upstream_has_failed() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let result = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 3, 4, DOCUMENT).await;
        for upstream in &cluster.upstreams {
            upstream.worker.mode.set(WorkerMode::Fails);
        }
        send_each(&cluster, "sweep", 40).await;
        for upstream in &cluster.upstreams {
            upstream.worker.mode.set(WorkerMode::Healthy);
        }
        send_each(&cluster, "sweep", 20).await.1
    });
    insta::assert_debug_snapshot!(result);
}

/// While the faster upstreams are nearly full, requests wait for them instead of using a free slot
/// of an upstream that is ten times as slow.
#[test]
fn a_busy_fleet_waits_rather_than_use_a_slow_upstream() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let result = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 3, 4, DOCUMENT).await;
        cluster.upstreams[1].worker.mode.set(WorkerMode::Slow);
        send_each(&cluster, "check", 60).await;
        cluster.runs.borrow_mut().clear();
        let callers = (0..16).map(|caller| {
            let cluster = cluster.clone();
            compio::runtime::spawn(async move {
                for i in 0..20 {
                    let body = format!("{caller}.{i}");
                    cluster.send(0, "alpha", "check", None, &body).await;
                }
            })
        });
        futures_util::future::join_all(callers.collect::<Vec<_>>()).await;
        let runs = cluster.runs.borrow();
        let slow = cluster.upstreams[1].worker.name.clone();
        let at_slow = runs.values().flatten().filter(|u| **u == slow).count();
        (runs.len(), at_slow)
    });
    insta::assert_debug_snapshot!(result);
}
