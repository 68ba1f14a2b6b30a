//! `limpetquay explain`.

use {
    super::{AdminAction, AdminClient},
    crate::{
        prelude::*,
        process::cli::{CliError, command::only_argument},
    },
    getopts::Matches,
};

/// Prints why a job waits, or where it runs.
pub(super) struct Explain;

impl Explain {
    async fn explain(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let job = only_argument(matches, "the job's identity")?;
        let explanation = client.get_json(&format!("jobs/{job}/explain")).await?;
        if matches.opt_present("json") {
            return Ok(format!("{explanation}\n"));
        }
        Ok(format!("{job}\n{explanation:#}\n"))
    }
}

impl AdminAction for Explain {
    fn name(&self) -> &'static str {
        "explain"
    }

    fn arguments(&self) -> &'static str {
        "JOB"
    }

    fn summary(&self) -> &'static str {
        "explain why a job waits, or show where it runs"
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.explain(client, matches))
    }
}
