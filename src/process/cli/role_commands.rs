//! The commands that run one role until a signal.

use {
    super::{
        CliError, Command,
        command::{read_file, required_option},
        signals::wait_for_stop,
    },
    crate::{
        connection::{HttpHandler, HttpServer},
        prelude::*,
        process::{
            clock::SystemClock,
            entry::RunningEntry,
            guard::RunningGuard,
            logging,
            settings::{EntrySettings, GuardSettings, StandInLogSettings, StandInUpstreamSettings},
            stand_in::{StandInLog, StandInUpstream},
        },
    },
    compio::runtime::Runtime,
    getopts::{Matches, Options},
};

/// The log level of a role when the environment does not set one.
const LOG_LEVEL: &str = "info";

/// Runs an entry.
pub(super) struct EntryCommand;

/// Runs a guard.
pub(super) struct GuardCommand;

/// Runs a stand-in for the platform's log.
pub(super) struct StandInLogCommand;

/// Runs a stand-in for an upstream.
pub(super) struct StandInUpstreamCommand;

impl Command for EntryCommand {
    fn name(&self) -> &'static str {
        "entry"
    }

    fn summary(&self) -> &'static str {
        "run an entry, which takes callers' requests and jobs"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        add_settings_option(opts);
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let settings = read_settings(matches, EntrySettings::parse)?;
        run_role(async move |clock| {
            let entry = RunningEntry::start(settings, clock).await?;
            wait_for_stop().await;
            entry.stop().await;
            Ok(())
        })
    }
}

impl Command for GuardCommand {
    fn name(&self) -> &'static str {
        "guard"
    }

    fn summary(&self) -> &'static str {
        "run the guard beside an upstream"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        add_settings_option(opts);
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let settings = read_settings(matches, GuardSettings::parse)?;
        run_role(async move |clock| {
            let guard = RunningGuard::start(settings, clock).await?;
            wait_for_stop().await;
            guard.stop().await;
            Ok(())
        })
    }
}

impl Command for StandInLogCommand {
    fn name(&self) -> &'static str {
        "stand-in log"
    }

    fn summary(&self) -> &'static str {
        "run a stand-in for the platform's log"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        add_settings_option(opts);
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let settings = read_settings(matches, StandInLogSettings::parse)?;
        run_role(async move |clock: Rc<dyn Clock>| {
            let log = StandInLog::with_limits(clock, settings.limits);
            serve_stand_in(settings.listen, Rc::new(log)).await
        })
    }
}

impl Command for StandInUpstreamCommand {
    fn name(&self) -> &'static str {
        "stand-in upstream"
    }

    fn summary(&self) -> &'static str {
        "run a stand-in for an upstream"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        add_settings_option(opts);
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let settings = read_settings(matches, StandInUpstreamSettings::parse)?;
        run_role(async move |clock: Rc<dyn Clock>| {
            let upstream = StandInUpstream::new(clock, settings.accelerators);
            serve_stand_in(settings.listen, Rc::new(upstream)).await
        })
    }
}

fn add_settings_option(opts: &mut Options) {
    opts.optopt("c", "settings", "the settings file", "FILE");
}

/// Reads and checks the file that the option `-c` names.
fn read_settings<E, F, S>(
    matches: &Matches,
    parse: F,
) -> Result<S, CliError>
where
    CliError: From<E>,
    F: FnOnce(&str, &str) -> Result<S, E>,
{
    let path = required_option(matches, "c")?;
    let text = read_file(&path)?;
    Ok(parse(&path, &text)?)
}

/// Runs a role's future on a new runtime.
pub(super) fn run_role<F>(role: F) -> Result<(), CliError>
where
    F: AsyncFnOnce(Rc<dyn Clock>) -> Result<(), CliError>,
{
    logging::start(LOG_LEVEL);
    let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
    Runtime::new()?.block_on(role(clock))
}

async fn serve_stand_in(
    listen: SocketAddr,
    handler: Rc<dyn HttpHandler>,
) -> Result<(), CliError> {
    let server = HttpServer::bind(listen, handler).await?;
    server.run(wait_for_stop()).await;
    Ok(())
}
