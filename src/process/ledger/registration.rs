//! Records that say where processes are reached.

use {
    super::{Condition, Ledger, LedgerKey, LedgerRecord, Member},
    crate::prelude::*,
};

/// The pause before a failed registration is tried again.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Records where a process is reached, so that the others find it.
pub async fn register(
    ledger: Rc<Ledger>,
    clock: Rc<dyn Clock>,
    member: Member,
) {
    let key = LedgerKey::Member(member.name.clone());
    let record = LedgerRecord::Member(member);
    while let Err(e) = ledger.put(&key, &record, Condition::Always).await {
        tracing::warn!(error = %e, "registering failed");
        clock.sleep(REGISTER_RETRY).await;
    }
    tracing::info!(%key, "registered");
}

/// Drops the record of a guard whose worker has ended. When that fails, the scheduling entry drops it
/// after all leases.
pub async fn unregister(
    ledger: &Ledger,
    member: &Member,
) {
    let key = LedgerKey::Member(member.name.clone());
    match ledger.append(&[key.tombstone()], Condition::Always).await {
        Ok(_) => tracing::info!(%key, "unregistered: the worker has ended"),
        Err(e) => tracing::warn!(%key, error = %e, "unregistering failed"),
    }
}
