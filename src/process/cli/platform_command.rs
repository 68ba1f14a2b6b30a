//! `limpetquay platform entry` and `limpetquay platform guard`.

use {
    super::{
        CliError, Command,
        signals::{listen_for_reloads, listen_for_stop},
    },
    crate::{
        platform::{BootSettings, PlatformRole, run_role},
        prelude::*,
        process::{clock::SystemClock, logging},
    },
    compio::runtime::Runtime,
    getopts::Matches,
};

/// The log level if the environment does not set one.
const LOG_LEVEL: &str = "info";

/// Runs an entry or a guard with the settings file that the platform provides.
pub(super) struct PlatformCommand(pub(super) PlatformRole);

impl Command for PlatformCommand {
    fn name(&self) -> &'static str {
        match self.0 {
            PlatformRole::Entry => "platform entry",
            PlatformRole::Guard => "platform guard",
        }
    }

    fn summary(&self) -> &'static str {
        match self.0 {
            PlatformRole::Entry => "run an entry with the platform's settings file",
            PlatformRole::Guard => "run a guard with the platform's settings file",
        }
    }

    fn run(
        &self,
        _matches: &Matches,
    ) -> Result<(), CliError> {
        let reloads = listen_for_reloads(check_settings);
        let stop = listen_for_stop();
        let _flush_guard = logging::start_on_stdout(LOG_LEVEL);
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = BootSettings::read().map_err(|e| CliError::Usage(e.to_string()))?;
        let result = Runtime::new()?.block_on(async move {
            let reloads = compio::runtime::spawn(reloads);
            let result = run_role(self.0, settings, clock, stop).await;
            drop(reloads);
            result
        });
        result.map_err(|e| CliError::Failed(e.to_string()))
    }
}

/// Reads the settings file again, checks it and logs the result. Nothing changes until the next
/// start, because peers use the addresses and lease terms from the registration.
fn check_settings() {
    match BootSettings::read() {
        Ok(settings) => tracing::info!(
            ?settings,
            "settings read again; changes take effect at the next start"
        ),
        Err(e) => tracing::error!(error = %e, "the changed settings file is invalid"),
    }
}
