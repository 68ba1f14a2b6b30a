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

/// The log level of the demonstration, whose table would be lost between log lines.
const LOG_LEVEL: &str = "off";

/// Runs a whole system in one process.
pub(super) struct LocalCommand;

impl Command for LocalCommand {
    fn name(&self) -> &'static str {
        "local"
    }

    fn summary(&self) -> &'static str {
        "run a whole system in one process and show it at work"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optflag(
            "s",
            "serve",
            "stay up until a signal instead of the demonstration",
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
