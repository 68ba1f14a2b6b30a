//! `limpetquay drain` and `limpetquay undrain`.

use {
    super::{AdminAction, AdminClient},
    crate::{
        prelude::*,
        process::cli::{CliError, command::only_argument},
    },
    getopts::Matches,
    serde_json::Value,
};

/// Starts or ends the drain of an upstream.
pub(super) struct Drain {
    name: &'static str,
    summary: &'static str,
}

impl Drain {
    /// Starts the drain of an upstream.
    pub(super) const DRAIN: Self = Self {
        name: "drain",
        summary: "stop new work on an upstream; running work finishes",
    };

    /// Ends the drain of an upstream.
    pub(super) const UNDRAIN: Self = Self {
        name: "undrain",
        summary: "allow new work on a drained upstream again",
    };

    async fn send(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let upstream = only_argument(matches, "the upstream")?;
        let path = format!("upstreams/{upstream}/{}", self.name);
        let response = client.post(&path, &Value::Null).await?;
        if matches.opt_present("json") {
            return Ok(format!("{response}\n"));
        }
        let guard_status = match response["guard_told"].as_bool() {
            Some(true) => "its guard knows",
            _ => "its guard has not answered yet",
        };
        Ok(format!(
            "{upstream}: {} is recorded; {guard_status}\n",
            self.name
        ))
    }
}

impl AdminAction for Drain {
    fn name(&self) -> &'static str {
        self.name
    }

    fn arguments(&self) -> &'static str {
        "UPSTREAM"
    }

    fn summary(&self) -> &'static str {
        self.summary
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.send(client, matches))
    }
}
