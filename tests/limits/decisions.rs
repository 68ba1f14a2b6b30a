//! Tests of the decisions about bodies and connections, without a network.

use {
    limpetquay::{
        prelude::*,
        process::limits::{
            BodyBudget, BodyId, ConnectionTable, EventThrottle, PortLimits, ProcessLimits,
            admits_job,
        },
    },
    proptest::prelude::*,
};

const LIMITS: PortLimits = PortLimits {
    body_bytes: 1000,
    bodies: 3,
    connections: 2,
    min_body_rate: 100,
};

/// Admits a body with a buffer, which aborts nothing.
fn hold(
    budget: &mut BodyBudget,
    capacity: usize,
    now: u64,
) -> BodyId {
    let (id, aborted) = budget.admit(Millis(now));
    assert_eq!(aborted, []);
    assert_eq!(budget.grow(id, capacity, Millis(now)), Ok(vec![]));
    budget.record_received(id, capacity);
    id
}

/// Guards against stalled bodies that keep the bytes which the body of an ordinary client needs.
#[test]
fn the_oldest_body_is_aborted_for_bytes() {
    let mut budget = BodyBudget::new(LIMITS);
    let oldest = hold(&mut budget, 400, 0);
    hold(&mut budget, 500, 10);
    let (newest, _) = budget.admit(Millis(20));
    assert_eq!(budget.grow(newest, 300, Millis(20)), Ok(vec![oldest]));
    assert_eq!(budget.held_bytes(), 800);
}

/// Guards against stalled bodies that use up the number of bodies in progress.
#[test]
fn the_oldest_body_is_aborted_for_a_new_one() {
    let mut budget = BodyBudget::new(LIMITS);
    let oldest = hold(&mut budget, 1, 0);
    hold(&mut budget, 1, 10);
    hold(&mut budget, 1, 20);
    let (_, aborted) = budget.admit(Millis(30));
    assert_eq!(aborted, [oldest]);
}

/// Guards against a body at a good rate that is aborted although a slow one is in progress.
#[test]
fn a_slow_body_is_aborted_before_an_older_one() {
    let mut budget = BodyBudget::new(LIMITS);
    hold(&mut budget, 900, 0);
    let slow = hold(&mut budget, 50, 100);
    assert!(!budget.is_too_slow(slow, Millis(5_600)));
    assert!(budget.is_too_slow(slow, Millis(5_700)));
    let (newest, _) = budget.admit(Millis(5_700));
    assert_eq!(budget.grow(newest, 100, Millis(5_700)), Ok(vec![slow]));
}

/// Guards against the abort of a body that is being handled: its request may have taken effect.
#[test]
fn a_body_that_is_being_handled_is_not_aborted() {
    let mut budget = BodyBudget::new(LIMITS);
    let handled = hold(&mut budget, 900, 0);
    budget.complete(handled);
    let (newer, _) = budget.admit(Millis(10));
    assert!(budget.grow(newer, 200, Millis(10)).is_err());
    assert_eq!(budget.held_bytes(), 900);
    assert_eq!(budget.abort_worst(Duration::ZERO, Millis(10_000)), None);
    budget.release(handled);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against others that are aborted in vain for a body that does not fit even so.
#[test]
fn no_other_body_is_aborted_for_one_that_does_not_fit() {
    let mut budget = BodyBudget::new(LIMITS);
    let handled = hold(&mut budget, 600, 0);
    budget.complete(handled);
    hold(&mut budget, 200, 10);
    let second = hold(&mut budget, 100, 20);
    assert!(budget.grow(second, 700, Millis(30)).is_err());
    assert_eq!(budget.held_bytes(), 800);
}

/// Guards against the refusal of a single request that is longer than the budget.
#[test]
fn a_single_body_is_admitted_whatever_its_length() {
    let mut budget = BodyBudget::new(LIMITS);
    hold(&mut budget, 5000, 0);
    assert_eq!(budget.held_bytes(), 5000);
}

/// Guards against connections that are refused while others are idle.
#[test]
fn the_longest_idle_connection_is_closed() {
    let mut table = ConnectionTable::new(2);
    let first = table.open(Millis(0)).expect("there is room");
    let second = table.open(Millis(10)).expect("there is room");
    table.set_busy(first);
    table.set_idle(first, Millis(50));
    assert_eq!(table.open(Millis(60)), None);
    let min_idle = Duration::from_millis(30);
    assert_eq!(table.close_longest_idle(min_idle, Millis(60)), Some(second));
    assert_eq!(table.close_longest_idle(min_idle, Millis(60)), None);
    assert_eq!(table.open(Millis(60)), None, "a closing one still counts");
    table.remove(second);
    assert!(table.open(Millis(60)).is_some());
}

/// Guards against the closing of a connection whose request is in progress.
#[test]
fn a_busy_connection_is_not_closed() {
    let mut table = ConnectionTable::new(1);
    let busy = table.open(Millis(0)).expect("there is room");
    table.set_busy(busy);
    let closed = table.close_longest_idle(Duration::ZERO, Millis(90_000));
    assert_eq!(closed, None);
}

/// Guards against a log line for each client of a crowd.
#[test]
fn events_are_logged_once_a_second_with_their_count() {
    let mut throttle = EventThrottle::default();
    let times = [0, 10, 999, 1000, 1500, 2000];
    let lines = times.map(|ms| throttle.record(Millis(ms)));
    assert_eq!(lines, [Some(1), None, None, Some(3), None, Some(2)]);
}

/// Guards against default limits that ordinary callers reach on the smallest machine, and against
/// limits that together exceed the machine.
#[test]
fn default_limits_fit_the_machines() {
    const FULL_BODY: usize = 262_144;
    for (memory_mb, max_fds) in [(128, 4096), (512, 8192)] {
        let limits = ProcessLimits::for_machine(memory_mb, max_fds);
        let callers = limits.callers;
        assert!(callers.body_bytes >= 48 * FULL_BODY, "{callers:?}");
        assert!(callers.bodies >= 300, "{callers:?}");
        assert!(callers.connections >= 400, "{callers:?}");
        let groups = [callers, limits.operators, limits.peers];
        let bytes: usize = groups.iter().map(|g| g.body_bytes).sum();
        let connections: usize = groups.iter().map(|g| g.connections).sum();
        assert!(bytes <= (memory_mb << 20) / 3, "{limits:?}");
        assert!(connections + 200 <= max_fds, "{limits:?}");
    }
}

#[derive(Clone, Debug)]
enum Op {
    Admit,
    Grow(usize, usize),
    Complete(usize),
    Release(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..8usize;
    prop_oneof![
        Just(Op::Admit),
        (index.clone(), 1..700usize).prop_map(|(i, capacity)| Op::Grow(i, capacity)),
        index.clone().prop_map(Op::Complete),
        index.prop_map(Op::Release),
    ]
}

proptest! {
    /// Guards against counts that drift, and against a limit that is exceeded by more than one body.
    #[test]
    fn limits_hold_in_any_order_of_calls(ops in prop::collection::vec((op(), 0..3000u64), 1..200)) {
        let mut budget = BodyBudget::new(LIMITS);
        // The number, the capacity and the completion of each body that is held.
        let mut held: Vec<(BodyId, usize, bool)> = Vec::new();
        let mut now = 0;
        for (op, passed) in ops {
            now += passed;
            match op {
                Op::Admit => {
                    let (id, aborted) = budget.admit(Millis(now));
                    held.retain(|(held, ..)| !aborted.contains(held));
                    held.push((id, 0, false));
                }
                Op::Grow(index, capacity) => {
                    let Some((id, old, is_complete)) = held.get(index).copied() else { continue };
                    if is_complete {
                        continue;
                    }
                    match budget.grow(id, capacity, Millis(now)) {
                        Ok(aborted) => {
                            let is_kept = |b: &(BodyId, usize, bool)| !aborted.contains(&b.0);
                            prop_assert!(held.iter().all(|b| is_kept(b) || !b.2));
                            held.retain(is_kept);
                            let body = held.iter_mut().find(|b| b.0 == id);
                            body.expect("a body that grew is held").1 = old.max(capacity);
                        }
                        Err(_) => held.retain(|b| b.0 != id),
                    }
                }
                Op::Complete(index) => {
                    if let Some(body) = held.get_mut(index) {
                        body.2 = true;
                        budget.complete(body.0);
                    }
                }
                Op::Release(index) if index < held.len() => budget.release(held.remove(index).0),
                Op::Release(_) => {}
            }
            let bytes: usize = held.iter().map(|b| b.1).sum();
            prop_assert_eq!(budget.held_bytes(), bytes);
            prop_assert!(bytes <= LIMITS.body_bytes);
            prop_assert!(held.iter().filter(|b| !b.2).count() <= LIMITS.bodies);
        }
    }
}

/// Guards against large jobs that leave no room for ordinary ones.
#[test]
fn ordinary_jobs_are_admitted_long_after_the_largest_ones() {
    const MAX: usize = 16 << 20;
    const LARGEST: usize = 20_000 * 128;
    const ORDINARY: usize = 8_000;
    let fill = |mut held: usize, job: usize| {
        let mut count = 0;
        while admits_job(job, held, MAX) {
            held += job;
            count += 1;
        }
        (held, count)
    };
    let (held, largest) = fill(0, LARGEST);
    let (full, ordinary) = fill(held, ORDINARY);
    assert_eq!((largest, ordinary), (3, 1134));
    assert!(full < MAX && admits_job(MAX * 2, 0, MAX));
}
