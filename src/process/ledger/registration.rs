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

/// What has become of a deregistration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeregistrationOutcome {
    /// The record is removed.
    Removed,
    /// The record stays, and this attempt never removes it.
    Kept,
    /// The record may be removed now or later, unless another record is stored before.
    Unknown,
}

/// Tries to remove the record of a guard whose worker has ended, and whose last lease lasts for
/// `lease`. The store may carry out an append seconds after it was sent, when the guard has registered
/// again, and a list of the newest records would then lack the guard. So the append holds only while
/// the ledger ends where it ended before: any registration that is stored meanwhile voids it.
pub async fn deregister(
    ledger: &Ledger,
    member: &Member,
    lease: Duration,
) -> DeregistrationOutcome {
    let key = LedgerKey::Member(member.name.clone());
    let ending = Deregistration {
        registration: member.registration,
        lease_ms: Millis::from(lease).0,
    };
    let ending = match key.record(&LedgerRecord::Deregistered(ending)) {
        Ok(ending) => ending,
        Err(e) => {
            tracing::error!(%key, error = %e, "the end of the registration cannot be encoded");
            return DeregistrationOutcome::Kept;
        }
    };
    let end = match ledger.stored_end().await {
        Ok(end) => end,
        Err(e) => {
            tracing::warn!(%key, error = %e, "failed to deregister: the end of the ledger is not known");
            return DeregistrationOutcome::Kept;
        }
    };
    let records = [ending, key.tombstone()];
    match ledger.append(&records, Condition::EndsAt(end)).await {
        Ok(_) => {
            tracing::info!(%key, end, "deregistered: the worker has ended");
            DeregistrationOutcome::Removed
        }
        Err(e @ (StoreError::EndMoved | StoreError::Refused(_) | StoreError::Rejected(_))) => {
            tracing::info!(%key, end, error = %e, "not deregistered");
            DeregistrationOutcome::Kept
        }
        Err(e) => {
            tracing::warn!(%key, end, error = %e, "it is not known whether the guard is deregistered");
            DeregistrationOutcome::Unknown
        }
    }
}
