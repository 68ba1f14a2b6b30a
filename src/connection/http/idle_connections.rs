//! The idle connections of an HTTP client.

use {crate::prelude::*, std::collections::BTreeMap};

/// The maximum number of idle connections to one peer. Ordinary operation of a process has fewer
/// calls to one peer in progress. Idle connections that went silent fail the calls that use them at
/// the same time, so that more of them would only prolong the outage; a burst beyond this number
/// costs one new connection for each call.
pub const MAX_IDLE_PER_PEER: usize = 8;

/// The time after which an idle connection is closed. Many servers and middleboxes drop connections
/// that are idle for longer.
pub const MAX_IDLE_TIME: Duration = Duration::from_secs(90);

/// A connection without a call.
struct Idle<C> {
    connection: C,
    /// When the connection last delivered a complete answer.
    answered_at: Millis,
}

/// The idle connections to each peer. Dropping a connection closes it.
pub struct IdleConnections<C> {
    /// The connections to each peer in the order of their last answers.
    peers: BTreeMap<Arc<str>, Vec<Idle<C>>>,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
        }
    }
}

impl<C> IdleConnections<C> {
    /// Removes the connection to a peer that has answered last.
    pub fn take(
        &mut self,
        peer: &str,
    ) -> Option<C> {
        let idle = self.peers.get_mut(peer)?.pop();
        idle.map(|i| i.connection)
    }

    /// Adds a connection that has delivered a complete answer at `now`. The one that has been idle
    /// for the longest time is closed if there are too many.
    pub fn put(
        &mut self,
        peer: &Arc<str>,
        connection: C,
        now: Millis,
    ) {
        let connections = self.peers.entry(peer.clone()).or_default();
        connections.push(Idle {
            connection,
            answered_at: now,
        });
        if connections.len() > MAX_IDLE_PER_PEER {
            connections.remove(0);
        }
    }

    /// Closes the connections to a peer that have not delivered an answer after `sent_at`, when a
    /// call was sent that got no answer. Returns their number.
    pub fn retire(
        &mut self,
        peer: &str,
        sent_at: Millis,
    ) -> usize {
        let Some(connections) = self.peers.get_mut(peer) else {
            return 0;
        };
        let before = connections.len();
        connections.retain(|c| c.answered_at > sent_at);
        before - connections.len()
    }

    /// Closes the connections that have been idle for too long and those that `is_usable` rejects.
    pub fn prune<F>(
        &mut self,
        now: Millis,
        is_usable: F,
    ) where
        F: Fn(&C) -> bool,
    {
        for connections in self.peers.values_mut() {
            connections
                .retain(|c| now.since(c.answered_at) < MAX_IDLE_TIME && is_usable(&c.connection));
        }
        self.peers.retain(|_, connections| !connections.is_empty());
    }
}
