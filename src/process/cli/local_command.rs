//! `limpetquay local`.

use {
    super::{
        CliError, Command, command::read_file, role::run_async_with_log_level,
        signals::listen_for_stop,
    },
    crate::{
        prelude::*,
        process::{
            local::{
                EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem, demonstrate, demonstrate_reclaim,
            },
            settings::LocalSettings,
        },
    },
    getopts::{Matches, Options},
};

/// The default log level. Logging is off so that log lines do not interrupt the demonstration's
/// table.
const LOG_LEVEL: &str = "off";

/// Runs a complete system in one process, with a demonstration or until a signal.
pub(super) struct LocalCommand;

impl Command for LocalCommand {
    fn name(&self) -> &'static str {
        "local"
    }

    fn summary(&self) -> &'static str {
        "run a whole system in one process and demonstrate it"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optflag(
            "s",
            "serve",
            "run until a signal, without the demonstration",
        );
        opts.optopt(
            "l",
            "log",
            "write log lines of this level and above to standard error (default: none)",
            "LEVEL",
        );
        opts.optopt("c", "settings", "the data centres and workers", "FILE");
        opts.optopt("d", "document", "the service document", "FILE");
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let settings = match matches.opt_str("settings") {
            Some(path) => LocalSettings::parse(&path, &read_file(&path)?)?,
            None => LocalSettings::parse("examples/triagehub/local.ini", EXAMPLE_SETTINGS)?,
        };
        let (path, text) = match matches.opt_str("document") {
            Some(path) => (path.clone(), read_file(&path)?),
            None => (
                "examples/triagehub/service.ini".to_owned(),
                EXAMPLE_DOCUMENT.to_owned(),
            ),
        };
        Document::parse(&path, &text)?;
        let serve = matches.opt_present("serve");
        let log_level = matches.opt_str("log");
        let log_level = log_level.as_deref().unwrap_or(LOG_LEVEL);
        run_async_with_log_level(log_level, async move |clock| {
            let system = LocalSystem::start(&settings, &text, clock).await?;
            system.print_addresses()?;
            if serve {
                listen_for_stop().await;
            } else {
                demonstrate(&system).await?;
                demonstrate_reclaim(&system).await?;
            }
            system.stop().await;
            Ok(())
        })
    }
}
