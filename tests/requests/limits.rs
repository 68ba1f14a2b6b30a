//! Queues, classes and limits.

use {
    super::world::{DOCUMENT, World},
    compio::runtime::spawn,
    limpetquay::{prelude::*, process::clock::VirtualClock, request::Outcome},
    std::{cell::RefCell, collections::BTreeMap},
};

/// What a burst was told, by account and kind.
type Counts = BTreeMap<String, u32>;

fn label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Answered { .. } => "answered",
        Outcome::NotRun(reason) => reason.label(),
        Outcome::Unknown => "unknown",
        Outcome::Conflict(_) => "conflict",
    }
}

/// Sends bursts of `count` requests for each account and kind at once.
async fn burst(
    world: &Rc<World>,
    senders: &[(&'static str, &'static str, u32)],
) -> Counts {
    let counts: Rc<RefCell<Counts>> = Rc::default();
    let mut tasks = Vec::new();
    for (account, kind, count) in senders.iter().copied() {
        for i in 0..count {
            let world = world.clone();
            let counts = counts.clone();
            tasks.push(spawn(async move {
                let outcome = world.send(0, account, kind, None, &format!("{i}")).await;
                let key = format!("{account} {kind} {}", label(&outcome));
                *counts.borrow_mut().entry(key).or_default() += 1;
            }));
        }
    }
    futures_util::future::join_all(tasks).await;
    Rc::try_unwrap(counts)
        .expect("every task has ended")
        .into_inner()
}

/// A burst is bounded by the account's queue; the other account's single requests go on.
#[test]
fn a_burst_is_bounded_and_leaves_others_alone() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let counts = clock.block_on(async move {
        let world = World::start(cx, 1, 2, DOCUMENT).await;
        burst(&world, &[("alpha", "sweep", 100), ("beta", "sweep", 5)]).await
    });
    insta::assert_debug_snapshot!(counts);
}

/// Within the first second urgent requests are served before normal ones, and those before
/// deferrable ones, which are not starved.
#[test]
fn classes_are_served_in_order() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let counts = clock.block_on(async move {
        let world = World::start(cx, 1, 1, DOCUMENT).await;
        let counts: Rc<RefCell<Vec<String>>> = Rc::default();
        let mut tasks = Vec::new();
        for kind in ["night", "sweep", "check"] {
            for i in 0..12 {
                let world = world.clone();
                let counts = counts.clone();
                tasks.push(spawn(async move {
                    world.send(0, "alpha", kind, None, &format!("{i}")).await;
                    counts.borrow_mut().push(kind.to_owned());
                }));
            }
        }
        futures_util::future::join_all(tasks).await;
        counts.borrow().join(" ")
    });
    insta::assert_snapshot!(counts);
}

/// A deadline that cannot be met is refused at once, with the time after which it could be.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_early() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 1, 1, DOCUMENT).await;
        world.send(0, "alpha", "sweep", None, "warm").await;
        for i in 0..30 {
            let world = world.clone();
            spawn(async move {
                world.send(0, "beta", "sweep", None, &format!("{i}")).await;
            })
            .detach();
        }
        world.sleep(5).await;
        let entry = world.entry(0);
        let mut req = world.request(&entry, "beta", "sweep", None, "late");
        req.deadline = Duration::from_millis(100);
        let before = world.clock.now();
        let outcome = limpetquay::request::run_request(&entry, &req).await;
        let took = world.clock.now().since(before);
        (label(&outcome), took)
    });
    insta::assert_debug_snapshot!(told);
}

/// The rate and in-flight limits of a kind hold.
#[test]
fn limits_of_a_kind_hold() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let told = clock.block_on(async move {
        let world = World::start(cx, 2, 8, DOCUMENT).await;
        let counts = burst(&world, &[("alpha", "night", 30)]).await;
        let most = world.sites.iter().map(|s| s.worker.most_running.get());
        (counts, most.sum::<u32>())
    });
    insta::assert_debug_snapshot!(told);
}
