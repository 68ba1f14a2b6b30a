//! A caller's own retry with the same idempotency key.

use {
    super::{
        fakes::{LogMode, WorkerMode},
        network::Fault,
        world::{DOCUMENT, World},
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

/// The retry gets the outcome of the first request, also through another entry; another body is
/// refused; another account's same key is its own.
#[test]
fn a_retry_through_another_entry_runs_nothing_twice() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let (told, runs) = clock.block_on(async move {
        let world = World::start(cx, 2, 2, DOCUMENT).await;
        let mut told = Vec::new();
        for (entry, account, body) in [
            (0, "alpha", "one"),
            (1, "alpha", "one"),
            (1, "alpha", "two"),
            (1, "beta", "two"),
        ] {
            let outcome = world.send(entry, account, "sweep", Some("k"), body).await;
            told.push(text(&outcome));
            world.sleep(100).await;
        }
        let runs: usize = world.runs.borrow().values().map(Vec::len).sum();
        (told, runs)
    });
    insta::assert_debug_snapshot!((told, runs));
}

/// A lost answer stays unknown for the retry; the request is not run again.
#[test]
fn a_lost_answer_stays_unknown() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 1, 2, DOCUMENT).await;
        world.sites[0]
            .faults
            .borrow_mut()
            .push_back(Fault::LoseReply);
        let first = world.send(0, "alpha", "sweep", Some("k"), "one").await;
        world.sleep(100).await;
        let second = world.send(1, "alpha", "sweep", Some("k"), "one").await;
        let runs: usize = world.runs.borrow().values().map(Vec::len).sum();
        (text(&first), text(&second), runs)
    });
    insta::assert_debug_snapshot!(told);
}

/// While an entry runs the request the retry is told so, and after that entry's death that the
/// outcome is unknown.
#[test]
fn a_request_of_a_dead_entry_is_unknown() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 1, 2, DOCUMENT).await;
        world.sites[0].worker.mode.set(WorkerMode::Slow);
        let sender = world.clone();
        let sending = compio::runtime::spawn(async move {
            sender.send(0, "alpha", "sweep", Some("k"), "one").await;
        });
        world.sleep(50).await;
        let during = world.send(1, "alpha", "sweep", Some("k"), "one").await;
        drop(sending);
        world.replace_entry(0);
        world.sleep(60_000).await;
        let after = world.send(1, "alpha", "sweep", Some("k"), "one").await;
        (text(&during), text(&after))
    });
    insta::assert_debug_snapshot!(told);
}

/// With the log out a keyed request is not run, whether or not its claim may stand; once the log
/// is back it can be sent again.
#[test]
fn without_the_log_nothing_is_run() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 1, 2, DOCUMENT).await;
        let mut told = Vec::new();
        for mode in [LogMode::Down, LogMode::Slow] {
            world.log.mode.set(mode);
            let before = world.clock.now();
            let outcome = world.send(0, "alpha", "sweep", Some("k"), "one").await;
            let runs = world.runs.borrow().len();
            told.push(format!(
                "{mode:?}: {} after {} ms, {runs} runs",
                text(&outcome),
                world.clock.now().since(before).as_millis()
            ));
        }
        world.log.mode.set(LogMode::Up);
        world.sleep(10_000).await;
        let outcome = world.send(1, "alpha", "sweep", Some("k"), "one").await;
        told.push(text(&outcome));
        told
    });
    insta::assert_debug_snapshot!(told);
}
