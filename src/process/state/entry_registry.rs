//! Registrations of entries.

use {
    super::{RecordCx, RecordOutcome},
    crate::prelude::*,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How long a registration is valid. Entries renew theirs well before it expires.
const REGISTRATION_LEASE: Duration = Duration::from_secs(900);

/// Registration of an entry with its location and address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// The entry's name.
    pub name: EntryName,
    /// Incarnation number of the entry's process; later starts have higher numbers.
    pub incarnation: u64,
    /// The entry's region.
    pub region: Region,
    /// The entry's data centre.
    pub data_centre: DataCentre,
    /// The address at which the entry receives datagrams.
    pub address: SocketAddr,
}

/// A registration and when the log stored it.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Registration {
    record: EntryRecord,
    appended_ms: u64,
}

/// The registration of the latest incarnation of each entry.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EntryRegistry {
    entries: BTreeMap<EntryName, Registration>,
}

impl EntryRegistry {
    /// Stores a registration unless a later incarnation of the entry has registered.
    pub fn apply(
        &mut self,
        cx: &RecordCx,
        record: EntryRecord,
    ) -> RecordOutcome {
        let current = self.entries.get(&record.name);
        if current.is_some_and(|c| c.record.incarnation > record.incarnation) {
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

    /// Returns the entries whose registration is valid at a wall-clock time.
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
