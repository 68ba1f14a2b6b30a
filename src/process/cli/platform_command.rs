//! The commands that run a role on the machines' platform.

use {
    super::{CliError, Command, signals::wait_for_stop},
    crate::{
        platform::{PlatformRole, run_role},
        prelude::*,
        process::{clock::SystemClock, logging},
    },
    compio::runtime::Runtime,
    getopts::Matches,
};

/// The log level when the environment does not set one.
const LOG_LEVEL: &str = "info";

/// Runs one role with the settings file that the platform provides.
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
        logging::start_on_stdout(LOG_LEVEL);
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let result = Runtime::new()?.block_on(run_role(self.0, clock, wait_for_stop()));
        result.map_err(|e| CliError::Failed(e.to_string()))
    }
}
