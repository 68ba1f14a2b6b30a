//! The roles on the platform.

use {
    super::{BootSettings, entry_role::PlatformEntry, guard_role::PlatformGuard},
    crate::prelude::*,
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::io,
};

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformRole {
    /// Serves callers; one of the entries schedules.
    Entry,
    /// Calls the worker on its machine.
    Guard,
}

/// Runs a role until `stop` is done and its work in progress is finished.
///
/// # Errors
/// The error of binding a socket.
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
            // An entry that is told to stop before it has read the ledger has promised nothing.
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
