//! Which idle connections of an HTTP client are kept, used and closed.

use limpetquay::{
    connection::{IdleConnections, MAX_IDLE_PER_PEER, MAX_IDLE_TIME},
    prelude::*,
};

/// Returns connections 0, 1, 2 and so on, which have answered 10, 20, 30 ms and so on after the start.
fn idle(
    peer: &Arc<str>,
    count: u64,
) -> IdleConnections<u64> {
    let mut connections = IdleConnections::default();
    for number in 0..count {
        connections.put(peer, number, Millis(10 * (number + 1)));
    }
    connections
}

fn take_all(
    connections: &mut IdleConnections<u64>,
    peer: &str,
) -> Vec<u64> {
    std::iter::from_fn(|| connections.take(peer)).collect()
}

/// Guards against connections without a bound, and against the use of the ones that have been idle the
/// longest, which are the likeliest to be silent.
#[test]
fn the_latest_connections_are_kept_and_used_first() {
    let peer: Arc<str> = "a".into();
    let count = MAX_IDLE_PER_PEER as u64 + 3;
    let taken = take_all(&mut idle(&peer, count), &peer);
    assert_eq!(taken, (3..count).rev().collect::<Vec<_>>());
}

/// Guards against connections that stay in use after a call without an answer, and against the loss of
/// those that have answered since or lead to other peers.
#[test]
fn a_call_without_an_answer_retires_connections_that_have_not_answered_since() {
    let (peer, other): (Arc<str>, Arc<str>) = ("a".into(), "b".into());
    let mut connections = idle(&peer, 5);
    connections.put(&other, 7, Millis(1));
    assert_eq!(connections.retire(&peer, Millis(30)), 3);
    // A connection in use at that time comes back once it has answered.
    connections.put(&peer, 9, Millis(60));
    assert_eq!(take_all(&mut connections, &peer), [9, 4, 3]);
    assert_eq!(take_all(&mut connections, &other), [7]);
}

/// Guards against calls on connections that the peer has closed or may have dropped.
#[test]
fn closed_and_old_connections_are_not_used() {
    let peer: Arc<str> = "a".into();
    let mut connections = idle(&peer, 4);
    let now = Millis(20) + Millis::from(MAX_IDLE_TIME);
    connections.prune(now, |number| *number != 3);
    assert_eq!(take_all(&mut connections, &peer), [2]);
}
