//! The roles: entry, guard, and the stand-ins for the platform's log and for an upstream.

use {
    super::{CliError, role::Role, signals::listen_for_stop},
    crate::{
        connection::{HttpHandler, HttpServer},
        prelude::*,
        process::{
            entry::RunningEntry,
            guard::RunningGuard,
            settings::{EntrySettings, GuardSettings, StandInLogSettings, StandInUpstreamSettings},
            stand_in::{StandInLog, StandInUpstream},
        },
        version::Faults,
    },
};

/// The role of an entry.
pub(super) struct EntryRole;

/// The role of a guard.
pub(super) struct GuardRole;

/// The role of a stand-in for the platform's log.
pub(super) struct StandInLogRole;

/// The role of a stand-in for an upstream.
pub(super) struct StandInUpstreamRole;

impl Role for EntryRole {
    type Settings = EntrySettings;

    const NAME: &'static str = "entry";

    const SUMMARY: &'static str = "run an entry, which accepts callers' requests and jobs";

    fn parse(
        name: &str,
        text: &str,
    ) -> Result<EntrySettings, Faults> {
        EntrySettings::parse(name, text)
    }

    async fn serve(
        settings: EntrySettings,
        clock: Rc<dyn Clock>,
    ) -> Result<(), CliError> {
        let entry = RunningEntry::start(settings, clock).await?;
        listen_for_stop().await;
        entry.stop().await;
        Ok(())
    }
}

impl Role for GuardRole {
    type Settings = GuardSettings;

    const NAME: &'static str = "guard";

    const SUMMARY: &'static str = "run a guard beside an upstream";

    fn parse(
        name: &str,
        text: &str,
    ) -> Result<GuardSettings, Faults> {
        GuardSettings::parse(name, text)
    }

    async fn serve(
        settings: GuardSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<(), CliError> {
        let guard = RunningGuard::start(settings, clock).await?;
        listen_for_stop().await;
        guard.stop().await;
        Ok(())
    }
}

impl Role for StandInLogRole {
    type Settings = StandInLogSettings;

    const NAME: &'static str = "stand-in log";

    const SUMMARY: &'static str = "run a stand-in for the platform's log";

    fn parse(
        name: &str,
        text: &str,
    ) -> Result<StandInLogSettings, Faults> {
        StandInLogSettings::parse(name, text)
    }

    async fn serve(
        settings: StandInLogSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<(), CliError> {
        let log = StandInLog::with_limits(clock, settings.limits);
        serve_stand_in(settings.listen, Rc::new(log)).await
    }
}

impl Role for StandInUpstreamRole {
    type Settings = StandInUpstreamSettings;

    const NAME: &'static str = "stand-in upstream";

    const SUMMARY: &'static str = "run a stand-in for an upstream";

    fn parse(
        name: &str,
        text: &str,
    ) -> Result<StandInUpstreamSettings, Faults> {
        StandInUpstreamSettings::parse(name, text)
    }

    async fn serve(
        settings: StandInUpstreamSettings,
        clock: Rc<dyn Clock>,
    ) -> Result<(), CliError> {
        let upstream = StandInUpstream::new(clock, settings.accelerators);
        serve_stand_in(settings.listen, Rc::new(upstream)).await
    }
}

async fn serve_stand_in(
    listen: SocketAddr,
    handler: Rc<dyn HttpHandler>,
) -> Result<(), CliError> {
    let server = HttpServer::bind(listen, handler).await?;
    server.run(listen_for_stop()).await;
    Ok(())
}
