//! Tests of callers that send a request again with the same idempotency key.

use {
    super::{
        fakes::{LogMode, WorkerMode},
        network::Fault,
        test_cluster::{DOCUMENT, TestCluster},
    },
    limpetquay::{prelude::*, process::clock::VirtualClock, request::Outcome},
};

fn text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered { status, body } => {
            format!("{status} {}", String::from_utf8_lossy(body))
        }
        Outcome::NotRun(reason) => format!("not run: {reason}"),
        Outcome::Unknown => "unknown".into(),
        Outcome::Conflict(conflict) => format!("conflict: {conflict}"),
    }
}

/// A retry receives the outcome of the first request, also through another entry. The same key with
/// another body is rejected, and the same key of another account is independent.
#[test]
fn a_retry_through_another_entry_runs_nothing_twice() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let (outcomes, runs) = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 2, 2, DOCUMENT).await;
        let mut outcomes = Vec::new();
        for (entry, account, body) in [
            (0, "alpha", "one"),
            (1, "alpha", "one"),
            (1, "alpha", "two"),
            (1, "beta", "two"),
        ] {
            let outcome = cluster.send(entry, account, "sweep", Some("k"), body).await;
            outcomes.push(text(&outcome));
            cluster.sleep(100).await;
        }
        let runs: usize = cluster.runs.borrow().values().map(Vec::len).sum();
        (outcomes, runs)
    });
    insta::assert_debug_snapshot!((outcomes, runs));
}

/// The outcome of a request whose answer was lost is unknown for the retry as well, and the request
/// is not run again.
#[test]
fn a_lost_answer_stays_unknown() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let outcomes = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 1, 2, DOCUMENT).await;
        cluster.upstreams[0]
            .faults
            .borrow_mut()
            .push_back(Fault::LoseReply);
        let first = cluster.send(0, "alpha", "sweep", Some("k"), "one").await;
        cluster.sleep(100).await;
        let second = cluster.send(1, "alpha", "sweep", Some("k"), "one").await;
        let runs: usize = cluster.runs.borrow().values().map(Vec::len).sum();
        (text(&first), text(&second), runs)
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// A retry through another entry is a conflict while the first entry runs the request. After the
/// first entry has crashed, its outcome is unknown.
#[test]
fn a_request_of_a_dead_entry_is_unknown() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let outcomes = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 1, 2, DOCUMENT).await;
        cluster.upstreams[0].worker.mode.set(WorkerMode::Slow);
        let sender = cluster.clone();
        let sending = compio::runtime::spawn(async move {
            sender.send(0, "alpha", "sweep", Some("k"), "one").await;
        });
        cluster.sleep(50).await;
        let during = cluster.send(1, "alpha", "sweep", Some("k"), "one").await;
        drop(sending);
        cluster.replace_entry(0);
        cluster.sleep(60_000).await;
        let after = cluster.send(1, "alpha", "sweep", Some("k"), "one").await;
        (text(&during), text(&after))
    });
    insta::assert_debug_snapshot!(outcomes);
}

/// Without the log a request with a key is not run, whether or not its claim is recorded later. It
/// can be sent again once the log is available.
#[test]
fn without_the_log_nothing_is_run() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let outcomes = clock.block_on(async move {
        let cluster = TestCluster::start(cx, 1, 2, DOCUMENT).await;
        let mut outcomes = Vec::new();
        for mode in [LogMode::Down, LogMode::Slow] {
            cluster.log.mode.set(mode);
            let before = cluster.clock.now();
            let outcome = cluster.send(0, "alpha", "sweep", Some("k"), "one").await;
            let runs = cluster.runs.borrow().len();
            outcomes.push(format!(
                "{mode:?}: {} after {} ms, {runs} runs",
                text(&outcome),
                cluster.clock.now().since(before).as_millis()
            ));
        }
        cluster.log.mode.set(LogMode::Up);
        cluster.sleep(10_000).await;
        let outcome = cluster.send(1, "alpha", "sweep", Some("k"), "one").await;
        outcomes.push(text(&outcome));
        outcomes
    });
    insta::assert_debug_snapshot!(outcomes);
}
