//! The entries that have registered on the log.

use {
    super::{RecordCx, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long a registration counts; entries renew theirs well before.
const REGISTRATION_LEASE: Duration = Duration::from_secs(900);

/// Where an entry is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// The entry's name.
    pub name: EntryName,
    /// The number of its start; later starts have higher ones.
    pub incarnation: u64,
    /// Its region.
    pub region: Region,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it hears datagrams.
    pub address: SocketAddr,
}

/// One registration.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Registration {
    record: EntryRecord,
    appended_ms: u64,
}

/// The registrations, the latest start of each entry.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EntryRegistry {
    entries: BTreeMap<EntryName, Registration>,
}

impl EntryRegistry {
    /// Takes a registration over unless a later start is known.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: EntryRecord,
    ) -> RecordOutcome {
        let known = self.entries.get(&record.name);
        if known.is_some_and(|k| k.record.incarnation > record.incarnation) {
            return RecordOutcome::Stale;
        }
        let registration = Registration {
            record,
            appended_ms: cx.appended_ms,
        };
        self.entries
            .insert(registration.record.name.clone(), registration);
        RecordOutcome::Applied
    }

    /// Returns the entries whose registration still counts at a time of day.
    pub fn current(
        &self,
        wall: Millis,
    ) -> impl Iterator<Item = &EntryRecord> {
        let current = self
            .entries
            .values()
            .filter(move |r| wall.since(Millis(r.appended_ms)) < REGISTRATION_LEASE);
        current.map(|r| &r.record)
    }
}
