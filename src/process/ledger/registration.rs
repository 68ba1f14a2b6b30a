//! Registers processes in the ledger, so that others can connect to them.

use {
    super::{Condition, Deregistration, Ledger, LedgerKey, LedgerRecord, Member, StoreError},
    crate::prelude::*,
};

/// The pause before a failed registration is retried.
const REGISTER_RETRY: Duration = Duration::from_millis(300);

/// Records the address of a process, so that others find it. Retries until the record is stored.
pub async fn register(
    ledger: Rc<Ledger>,
    clock: Rc<dyn Clock>,
    member: Member,
) {
    let key = LedgerKey::Member(member.name.clone());
    let record = LedgerRecord::Member(member);
    while let Err(e) = ledger.put(&key, &record, Condition::Always).await {
        tracing::warn!(error = %e, "registration failed");
        clock.sleep(REGISTER_RETRY).await;
    }
    tracing::info!(%key, "registered");
}

/// Removes the record of a guard whose worker has ended, and whose last lease lasts for `lease`.
/// Returns whether the registration may have ended: `false` if the store has certainly not removed
/// the record. The scheduling entry then removes it once all leases have expired.
pub async fn deregister(
    ledger: &Ledger,
    member: &Member,
    lease: Duration,
) -> bool {
    let key = LedgerKey::Member(member.name.clone());
    let ending = Deregistration {
        registration: member.registration,
        lease_ms: Millis::from(lease).0,
    };
    let ending = match key.record(&LedgerRecord::Deregistered(ending)) {
        Ok(ending) => ending,
        Err(e) => {
            tracing::error!(%key, error = %e, "the end of the registration cannot be encoded");
            return false;
        }
    };
    let records = [ending, key.tombstone()];
    match ledger.append(&records, Condition::Always).await {
        Ok(_) => {
            tracing::info!(%key, "deregistered: the worker has ended");
            true
        }
        Err(e) => {
            tracing::warn!(%key, error = %e, "failed to deregister");
            !matches!(e, StoreError::Refused(_))
        }
    }
}
