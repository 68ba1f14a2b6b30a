//! The table of known entries.

use {
    super::{EntryRow, ServingState, rendezvous::rendezvous_sort},
    crate::prelude::*,
    std::collections::BTreeMap,
};

/// How long an entry of the own region stays live after its last heartbeat.
pub(super) const REGION_LEASE: Duration = Duration::from_secs(5);

/// How long an entry of another region stays live after its last heartbeat.
pub(super) const REMOTE_LEASE: Duration = Duration::from_secs(10);

/// How long the address of an unresponsive entry is kept and retried.
const CONTACT_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The maximum number of watcher candidates sent to a guard.
const MAX_CANDIDATES: usize = 8;

/// The number of candidates below which entries outside the data centre, then outside the region,
/// are added.
const MIN_CANDIDATES: usize = 2;

/// The record of another entry.
#[derive(Clone, Debug)]
struct Peer {
    row: Rc<EntryRow>,
    last_alive_at: Millis,
}

/// The effect of a received heartbeat on the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat was ignored: it is the own one or not newer than the known one.
    Stale,
    /// A later heartbeat of a live entry.
    Refreshed,
    /// A heartbeat of an entry that was not known to be live in this incarnation.
    Joined,
}

/// The entries that one entry knows, including itself.
#[derive(Debug)]
pub struct EntryTable {
    own: EntryRow,
    peers: BTreeMap<EntryName, Peer>,
    seeds: Vec<SocketAddr>,
    registered_addresses: BTreeMap<SocketAddr, Millis>,
}

impl EntryTable {
    /// Creates the table of an entry; `seeds` are addresses at which other entries may be
    /// reachable.
    pub fn new(
        own: EntryRow,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            seeds,
            registered_addresses: BTreeMap::new(),
        }
    }

    /// Returns the own row.
    pub fn own(&self) -> &EntryRow {
        &self.own
    }

    /// Returns the own row mutably.
    pub(super) fn own_mut(&mut self) -> &mut EntryRow {
        &mut self.own
    }

    /// Records the address of an entry from its registration in the log.
    pub fn register(
        &mut self,
        now: Millis,
        address: SocketAddr,
    ) {
        if address != self.own.address {
            self.registered_addresses.insert(address, now);
        }
    }

    /// Applies a heartbeat unless the same or a newer one is known. A heartbeat that another entry
    /// forwarded may be old, so it extends the time at which its entry was last alive only by the
    /// difference between the heartbeat numbers, which count milliseconds.
    pub fn apply_heartbeat(
        &mut self,
        now: Millis,
        row: EntryRow,
        direct: bool,
    ) -> HeartbeatOutcome {
        if row.name == self.own.name {
            return HeartbeatOutcome::Stale;
        }
        let known = self.peers.get(&row.name);
        let order = |r: &EntryRow| (r.incarnation, r.heartbeat);
        if known.is_some_and(|p| order(&p.row) >= order(&row)) {
            return HeartbeatOutcome::Stale;
        }
        let was_reachable = known
            .is_some_and(|p| p.row.incarnation == row.incarnation && self.is_reachable(now, p));
        let last_alive_at = match known.filter(|p| p.row.incarnation == row.incarnation && !direct)
        {
            Some(known) => {
                let elapsed_ms = row.heartbeat - known.row.heartbeat;
                now.min(known.last_alive_at + Millis(elapsed_ms))
            }
            None => now,
        };
        let peer = Peer {
            row: Rc::new(row),
            last_alive_at,
        };
        self.peers.insert(peer.row.name.clone(), peer);
        if was_reachable {
            HeartbeatOutcome::Refreshed
        } else {
            HeartbeatOutcome::Joined
        }
    }

    /// Returns the row of an entry whose last heartbeat has not expired and that is not leaving.
    pub fn reachable(
        &self,
        now: Millis,
        name: &EntryName,
    ) -> Option<Rc<EntryRow>> {
        let peer = self.peers.get(name)?;
        self.is_reachable(now, peer).then(|| peer.row.clone())
    }

    /// Returns when the last heartbeat of an entry expires; zero for an unknown entry.
    pub(super) fn live_until(
        &self,
        name: &EntryName,
    ) -> Millis {
        let peer = self.peers.get(name);
        peer.map_or(Millis::default(), |p| {
            p.last_alive_at + Millis::from(self.lease(&p.row))
        })
    }

    /// Returns the last row of an entry, live or not.
    pub fn get(
        &self,
        name: &EntryName,
    ) -> Option<Rc<EntryRow>> {
        self.peers.get(name).map(|p| p.row.clone())
    }

    /// Returns the other live entries, ordered by name.
    pub fn live_peers(
        &self,
        now: Millis,
    ) -> Vec<Rc<EntryRow>> {
        let live = |p: &&Peer| p.row.serving == ServingState::Serving && self.is_reachable(now, p);
        let live = self.peers.values().filter(live);
        live.map(|p| p.row.clone()).collect()
    }

    /// Returns the live entries, ordered by name, including the own one if it is serving.
    pub fn live(
        &self,
        now: Millis,
    ) -> Vec<Rc<EntryRow>> {
        let mut live = self.live_peers(now);
        if self.own.serving == ServingState::Serving {
            live.push(Rc::new(self.own.clone()));
            live.sort_by(|a, b| a.name.cmp(&b.name));
        }
        live
    }

    /// Returns the live entries of a region, ranked by rendezvous hash for a key.
    pub fn ranked(
        &self,
        now: Millis,
        region: &Region,
        key: &str,
    ) -> Vec<Rc<EntryRow>> {
        let mut live = self.live(now);
        live.retain(|r| r.region == *region);
        rendezvous_sort(key, &mut live, |r| r.name.as_str());
        live
    }

    /// Returns whether the own entry sends the heartbeats of its data centre to other regions.
    pub fn is_representative(
        &self,
        now: Millis,
    ) -> bool {
        let data_centre = &self.own.data_centre;
        let mut ranked = self.ranked(now, &self.own.region, data_centre.as_str());
        ranked.retain(|r| r.data_centre == *data_centre);
        ranked.first().is_none_or(|r| r.name == self.own.name)
    }

    /// Returns the rows of the own data centre, including draining entries.
    pub fn data_centre_rows(
        &self,
        now: Millis,
    ) -> Vec<EntryRow> {
        let peers = self.peers.values();
        let own = peers
            .filter(|p| p.row.data_centre == self.own.data_centre && self.is_reachable(now, p));
        let rows = own.map(|p| (*p.row).clone());
        rows.chain([self.own.clone()]).collect()
    }

    /// Returns the candidate watchers for the upstreams of a data centre: its live entries, and if
    /// these are too few, those of the region, then all others.
    pub fn candidates(
        &self,
        now: Millis,
        region: &Region,
        data_centre: &DataCentre,
    ) -> Vec<EntryRow> {
        let live = self.live(now);
        let in_data_centre = live.iter().filter(|r| r.data_centre == *data_centre);
        let mut chosen: Vec<EntryRow> = in_data_centre.map(|r| (**r).clone()).collect();
        let region_first = [true, false];
        for in_region in region_first {
            if chosen.len() >= MIN_CANDIDATES {
                break;
            }
            let remaining = live
                .iter()
                .filter(|r| (r.region == *region) == in_region && r.data_centre != *data_centre);
            chosen.extend(remaining.map(|r| (**r).clone()));
        }
        chosen.truncate(MAX_CANDIDATES);
        chosen
    }

    /// Returns the addresses to contact: seeds, registered addresses and known entries that are not
    /// reachable.
    pub fn contacts(
        &self,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let reachable = |a: &SocketAddr| {
            let mut peers = self.peers.values();
            peers.any(|p| p.row.address == *a && self.is_reachable(now, p))
        };
        let last_known = self.peers.values().map(|p| p.row.address);
        let seeds = self.seeds.iter().copied();
        let mut contacts: Vec<SocketAddr> = seeds
            .chain(self.registered_addresses.keys().copied())
            .chain(last_known)
            .filter(|a| *a != self.own.address && !reachable(a))
            .collect();
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// Removes entries without a heartbeat, and addresses without a registration, for a day.
    pub fn remove_expired(
        &mut self,
        now: Millis,
    ) {
        self.peers
            .retain(|_, p| now.since(p.last_alive_at) < CONTACT_RETENTION);
        self.registered_addresses
            .retain(|_, since| now.since(*since) < CONTACT_RETENTION);
    }

    /// Returns how long an entry stays live after a heartbeat.
    fn lease(
        &self,
        row: &EntryRow,
    ) -> Duration {
        if row.region == self.own.region {
            REGION_LEASE
        } else {
            REMOTE_LEASE
        }
    }

    fn is_reachable(
        &self,
        now: Millis,
        peer: &Peer,
    ) -> bool {
        peer.row.serving != ServingState::Leaving
            && now.since(peer.last_alive_at) < self.lease(&peer.row)
    }
}

/// Returns a digest of the candidate watchers, by which an entry detects that a guard knows others.
pub(super) fn candidates_digest(candidates: &[EntryRow]) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for row in candidates {
        hasher.update(row.name.as_str().as_bytes());
        hasher.update(&row.incarnation.to_le_bytes());
    }
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(bytes)
}
