//! The trait of roles that run until a signal, and the command that runs one.

use {
    super::{
        CliError, Command,
        command::{read_file, required_option},
    },
    crate::{
        prelude::*,
        process::{clock::SystemClock, logging},
        version::Faults,
    },
    compio::runtime::Runtime,
    getopts::{Matches, Options},
    std::marker::PhantomData,
};

/// The log level if the environment does not set one.
const LOG_LEVEL: &str = "info";

/// A role that is configured by a settings file and runs until a signal.
pub(super) trait Role {
    /// The parsed settings file.
    type Settings;

    /// The name of the command that runs the role.
    const NAME: &'static str;

    /// A one-line description of the role.
    const SUMMARY: &'static str;

    /// Parses and checks the settings file; `name` names it in messages.
    fn parse(
        name: &str,
        text: &str,
    ) -> Result<Self::Settings, Faults>;

    /// Runs the role until a signal, then shuts it down gracefully.
    async fn serve(
        settings: Self::Settings,
        clock: Rc<dyn Clock>,
    ) -> Result<(), CliError>;
}

/// A command that runs a role.
pub(super) struct RoleCommand<R>(PhantomData<R>);

impl<R> RoleCommand<R> {
    /// Creates the command.
    pub(super) fn new() -> Self {
        Self(PhantomData)
    }
}

impl<R> Command for RoleCommand<R>
where
    R: Role,
{
    fn name(&self) -> &'static str {
        R::NAME
    }

    fn summary(&self) -> &'static str {
        R::SUMMARY
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optopt("c", "settings", "the settings file", "FILE");
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let path = required_option(matches, "c")?;
        let text = read_file(&path)?;
        let settings = R::parse(&path, &text)?;
        run_async(async move |clock| R::serve(settings, clock).await)
    }
}

/// Runs a command on a new runtime, logging at the default level.
pub(super) fn run_async<F>(command: F) -> Result<(), CliError>
where
    F: AsyncFnOnce(Rc<dyn Clock>) -> Result<(), CliError>,
{
    run_async_with_log_level(LOG_LEVEL, command)
}

/// Runs a command on a new runtime, logging at `log_level` unless the environment sets another.
pub(super) fn run_async_with_log_level<F>(
    log_level: &str,
    command: F,
) -> Result<(), CliError>
where
    F: AsyncFnOnce(Rc<dyn Clock>) -> Result<(), CliError>,
{
    logging::start(log_level);
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    Runtime::new()?.block_on(command(clock))
}
