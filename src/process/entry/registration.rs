//! Registers the entry on the log, through which entries find each other. While the log is down,
//! an entry relies on those that it already knows.

use {
    super::Entry,
    crate::{
        prelude::*,
        process::state::{EntryRecord, RecordBody},
    },
};

/// The mean interval between registrations.
const REGISTER_INTERVAL: Duration = Duration::from_secs(300);

/// The mean delay before the retry of a failed registration.
const REGISTER_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Registers the entry on the log at regular intervals; never returns.
pub async fn register_entry(entry: Rc<Entry>) {
    loop {
        let record = RecordBody::Entry(own_record(&entry));
        let pause = match entry.state.append(record).await {
            Ok(()) => REGISTER_INTERVAL,
            Err(e) => {
                tracing::warn!(error = %e, "failed to register the entry on the log");
                REGISTER_RETRY_DELAY
            }
        };
        let factor = rand::random_range(0.8..1.2);
        entry.clock.sleep(pause.mul_f64(factor)).await;
    }
}

/// Adds the addresses of registered entries to the entry table; never returns.
pub async fn follow_registry(entry: Rc<Entry>) {
    loop {
        add_registered_entries(&entry);
        entry.state.wait_for_change().await;
    }
}

fn add_registered_entries(entry: &Entry) {
    let now = entry.clock.now();
    let fold = entry.state.fold();
    let mut entries = entry.entries.borrow_mut();
    for record in fold.entries().current(entry.clock.wall_time()) {
        entries.register(now, record.address);
    }
}

fn own_record(entry: &Entry) -> EntryRecord {
    let entries = entry.entries.borrow();
    let own = entries.own();
    EntryRecord {
        name: own.name.clone(),
        incarnation: own.incarnation,
        region: own.region.clone(),
        data_centre: own.data_centre.clone(),
        address: own.address,
    }
}
