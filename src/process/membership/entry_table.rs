//! The entries that a process knows.

use {
    super::{EntryRow, ServingState, rendezvous::rendezvous_sort},
    crate::prelude::*,
    std::collections::BTreeMap,
};

/// How long an entry of the own region counts as live after its last heartbeat.
pub(super) const REGION_LEASE: Duration = Duration::from_secs(5);

/// How long an entry of another region counts as live after its last heartbeat.
pub(super) const REMOTE_LEASE: Duration = Duration::from_secs(10);

/// How long the address of a silent entry is remembered and tried.
const CONTACT_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The most entries that a guard is offered as watchers.
const MAX_CANDIDATES: usize = 8;

/// The number of candidates below which those of a wider place are added.
const MIN_CANDIDATES: usize = 2;

/// One known entry.
#[derive(Clone, Debug)]
struct Peer {
    row: Rc<EntryRow>,
    last_alive_at: Millis,
}

/// What a heartbeat brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatOutcome {
    /// Nothing new: it is the own row or an older one.
    Stale,
    /// A later heartbeat of a live entry.
    Refreshed,
    /// An entry that was not known as live.
    Joined,
}

/// The entries that one entry knows, itself among them.
#[derive(Debug)]
pub struct EntryTable {
    own: EntryRow,
    peers: BTreeMap<EntryName, Peer>,
    seeds: Vec<SocketAddr>,
    registered_addresses: BTreeMap<SocketAddr, Millis>,
}

impl EntryTable {
    /// Creates the table of an entry; `seeds` are addresses behind which other entries may be.
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

    /// Returns the own row for changes.
    pub(super) fn own_mut(&mut self) -> &mut EntryRow {
        &mut self.own
    }

    /// Takes over where the log says that an entry is.
    pub fn register(
        &mut self,
        now: Millis,
        address: SocketAddr,
    ) {
        if address != self.own.address {
            self.registered_addresses.insert(address, now);
        }
    }

    /// Takes a row over unless a newer one is known. A row that came through another entry tells
    /// only that its entry lived as much later as its heartbeat is later than the known one.
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
        let heard = match known.filter(|p| p.row.incarnation == row.incarnation && !direct) {
            Some(known) => {
                let later = row.heartbeat - known.row.heartbeat;
                now.min(known.last_alive_at + Millis(later))
            }
            None => now,
        };
        let peer = Peer {
            row: Rc::new(row),
            last_alive_at: heard,
        };
        self.peers.insert(peer.row.name.clone(), peer);
        if was_reachable {
            HeartbeatOutcome::Refreshed
        } else {
            HeartbeatOutcome::Joined
        }
    }

    /// Returns an entry from which heartbeats come.
    pub fn reachable(
        &self,
        now: Millis,
        name: &EntryName,
    ) -> Option<Rc<EntryRow>> {
        let peer = self.peers.get(name)?;
        self.is_reachable(now, peer).then(|| peer.row.clone())
    }

    /// Returns until when the last heartbeat of an entry counts.
    pub(super) fn live_until(
        &self,
        name: &EntryName,
    ) -> Millis {
        let peer = self.peers.get(name);
        peer.map_or(Millis::default(), |p| {
            p.last_alive_at + Millis::from(self.lease(&p.row))
        })
    }

    /// Returns the last row of an entry.
    pub fn get(
        &self,
        name: &EntryName,
    ) -> Option<Rc<EntryRow>> {
        self.peers.get(name).map(|p| p.row.clone())
    }

    /// Returns the other live entries, by name.
    pub fn live_peers(
        &self,
        now: Millis,
    ) -> Vec<Rc<EntryRow>> {
        let live = |p: &&Peer| p.row.serving == ServingState::Serving && self.is_reachable(now, p);
        let live = self.peers.values().filter(live);
        live.map(|p| p.row.clone()).collect()
    }

    /// Returns the live entries, by name, and the own one among them unless it is draining.
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

    /// Returns the live entries of a region, the first choice for a key first.
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

    /// Tells whether the own entry speaks for its data centre towards other regions.
    pub fn is_representative(
        &self,
        now: Millis,
    ) -> bool {
        let data_centre = &self.own.data_centre;
        let mut ranked = self.ranked(now, &self.own.region, data_centre.as_str());
        ranked.retain(|r| r.data_centre == *data_centre);
        ranked.first().is_none_or(|r| r.name == self.own.name)
    }

    /// Returns the rows of the own data centre, draining entries among them.
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

    /// Returns the entries that may watch the upstreams of a place: those of the data centre,
    /// then of the region, then all.
    pub fn candidates(
        &self,
        now: Millis,
        region: &Region,
        data_centre: &DataCentre,
    ) -> Vec<EntryRow> {
        let live = self.live(now);
        let near = live.iter().filter(|r| r.data_centre == *data_centre);
        let mut chosen: Vec<EntryRow> = near.map(|r| (**r).clone()).collect();
        let region_first = [true, false];
        for in_region in region_first {
            if chosen.len() >= MIN_CANDIDATES {
                break;
            }
            let wider = live
                .iter()
                .filter(|r| (r.region == *region) == in_region && r.data_centre != *data_centre);
            chosen.extend(wider.map(|r| (**r).clone()));
        }
        chosen.truncate(MAX_CANDIDATES);
        chosen
    }

    /// Returns the addresses to try for entries that are not heard.
    pub fn contacts(
        &self,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let reachable = |a: &SocketAddr| {
            let mut peers = self.peers.values();
            peers.any(|p| p.row.address == *a && self.is_reachable(now, p))
        };
        let silent = self.peers.values().map(|p| p.row.address);
        let known = self.seeds.iter().copied();
        let mut contacts: Vec<SocketAddr> = known
            .chain(self.registered_addresses.keys().copied())
            .chain(silent)
            .filter(|a| *a != self.own.address && !reachable(a))
            .collect();
        contacts.sort_unstable();
        contacts.dedup();
        contacts
    }

    /// Forgets entries that have been silent for a day.
    pub fn remove_expired(
        &mut self,
        now: Millis,
    ) {
        self.peers
            .retain(|_, p| now.since(p.last_alive_at) < CONTACT_RETENTION);
        self.registered_addresses
            .retain(|_, since| now.since(*since) < CONTACT_RETENTION);
    }

    /// Returns how long an entry counts as live after a heartbeat.
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

/// Returns a digest of the entries that a guard may choose from.
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
