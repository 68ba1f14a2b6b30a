//! The roles on the platform.

use {
    super::{BootSettings, SettingsError, entry_role::PlatformEntry, guard_role::PlatformGuard},
    crate::prelude::*,
    derive_more::{Display, Error, From},
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

/// Why a role did not start.
#[derive(Debug, Display, Error, From)]
pub enum RoleError {
    /// The settings cannot be used.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A socket could not be bound.
    #[display("{_0}")]
    Io(io::Error),
}

/// Runs a role until `stop` is done and its work in progress is finished.
///
/// # Errors
/// [`RoleError`] when the role does not start.
pub async fn run_role<F>(
    role: PlatformRole,
    clock: Rc<dyn Clock>,
    stop: F,
) -> Result<(), RoleError>
where
    F: Future<Output = ()>,
{
    let settings = BootSettings::read()?;
    tracing::info!(?role, instance = %settings.instance, leases = ?settings.leases, "starting");
    match role {
        PlatformRole::Entry => {
            let entry = PlatformEntry::start(&settings, clock).await?;
            stop.await;
            entry.stop().await;
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
