//! Decides which connections a group of ports keeps open.

use {crate::prelude::*, std::collections::BTreeMap};

/// The number of a connection within its table.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionState {
    IdleSince(Millis),
    Busy,
    /// It was told to close and still counts.
    Closing,
}

/// The open connections of a group of ports.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit: usize,
    connections: BTreeMap<ConnectionId, ConnectionState>,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates an empty table for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Adds a connection, which is idle at first; `None` if there is no room.
    pub fn open(
        &mut self,
        now: Millis,
    ) -> Option<ConnectionId> {
        (self.connections.len() < self.limit).then(|| {
            let id = ConnectionId(self.next_id);
            self.next_id += 1;
            self.connections.insert(id, ConnectionState::IdleSince(now));
            id
        })
    }

    /// Records that a connection has a request.
    pub fn set_busy(
        &mut self,
        id: ConnectionId,
    ) {
        if let Some(state) = self.connections.get_mut(&id) {
            *state = ConnectionState::Busy;
        }
    }

    /// Records that a connection's request is answered.
    pub fn set_idle(
        &mut self,
        id: ConnectionId,
        now: Millis,
    ) {
        if let Some(state) = self.connections.get_mut(&id) {
            *state = ConnectionState::IdleSince(now);
        }
    }

    /// Removes a connection that has closed.
    pub fn remove(
        &mut self,
        id: ConnectionId,
    ) {
        self.connections.remove(&id);
    }

    /// Returns the connection that has been idle longest, if it has been so for `min_idle`, and
    /// marks it as closing. It counts until it is removed.
    pub fn close_longest_idle(
        &mut self,
        min_idle: Duration,
        now: Millis,
    ) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter_map(|(id, s)| match s {
            ConnectionState::IdleSince(since) => Some((*since, *id)),
            ConnectionState::Busy | ConnectionState::Closing => None,
        });
        let (since, id) = idle.min()?;
        (now.since(since) >= min_idle).then(|| {
            self.connections.insert(id, ConnectionState::Closing);
            id
        })
    }
}
