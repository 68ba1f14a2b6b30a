//! Entries find each other through the log, and where it is down through those they know.

use {
    super::Entry,
    crate::{
        prelude::*,
        process::state::{EntryRecord, RecordBody},
    },
};

/// The pause between registrations.
const REGISTER_INTERVAL: Duration = Duration::from_secs(300);

/// The pause before another try when the log did not take a registration.
const REGISTER_RETRY: Duration = Duration::from_secs(5);

/// Registers the entry on the log, again and again, for ever.
pub async fn register(entry: Rc<Entry>) {
    loop {
        let record = RecordBody::Entry(own_record(&entry));
        let pause = match entry.state.append(record).await {
            Ok(()) => REGISTER_INTERVAL,
            Err(e) => {
                tracing::warn!(error = %e, "the entry is not registered");
                REGISTER_RETRY
            }
        };
        let factor = rand::random_range(0.8..1.2);
        entry.clock.sleep(pause.mul_f64(factor)).await;
    }
}

/// Takes over where registered entries are, for ever.
pub async fn follow_registry(entry: Rc<Entry>) {
    loop {
        learn(&entry);
        entry.state.wait_for_change().await;
    }
}

fn learn(entry: &Entry) {
    let now = entry.clock.now();
    let fold = entry.state.fold();
    let mut entries = entry.entries.borrow_mut();
    for record in fold.entries().current(entry.clock.wall()) {
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
