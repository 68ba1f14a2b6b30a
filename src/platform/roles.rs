//! The roles of a process on the platform.

use {
    super::{BootSettings, platform_entry::PlatformEntry, platform_guard::PlatformGuard},
    crate::prelude::*,
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::io,
};

/// The role of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformRole {
    /// Serves callers. One of the entries is the leader, which schedules.
    Entry,
    /// Runs beside a worker and calls it.
    Guard,
}

/// Runs a role until `stop` completes. An entry then finishes its requests in progress within the
/// grace period; a guard stops at once.
///
/// # Errors
/// Returns an error if an address is missing from the settings or a socket cannot be bound.
pub async fn run_role<F>(
    role: PlatformRole,
    settings: BootSettings,
    clock: Rc<dyn Clock>,
    stop: F,
) -> io::Result<()>
where
    F: Future<Output = ()>,
{
    tracing::info!(?role, instance = %settings.instance, leases = ?settings.leases, "starting");
    match role {
        PlatformRole::Entry => {
            let starting = PlatformEntry::start(&settings, clock);
            pin_mut!(starting, stop);
            // An entry that is stopped before it has read the ledger has accepted no jobs, so it
            // needs no graceful shutdown.
            if let Either::Left((entry, stop)) = select(starting, stop).await {
                let entry = entry?;
                stop.await;
                entry.stop().await;
            }
        }
        PlatformRole::Guard => {
            let guard = PlatformGuard::start(&settings, clock).await?;
            stop.await;
            drop(guard);
        }
    }
    tracing::info!(?role, "stopped");
    Ok(())
}
