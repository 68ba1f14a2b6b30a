//! `limpetquay revert`.

use {
    super::{AdminAction, AdminClient},
    crate::{
        prelude::*,
        process::cli::{
            CliError,
            command::{only_argument, required_option},
        },
    },
    getopts::{Matches, Options},
    serde_json::json,
};

/// Submits the text of an earlier version as a new version.
pub(super) struct Revert;

impl Revert {
    async fn revert(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let to = read_version(&only_argument(matches, "the version to return to")?)?;
        let follows = read_version(&required_option(matches, "f")?)?;
        let body = json!({ "to": to, "follows": follows });
        let accepted = client.post("document/revert", &body).await?;
        if matches.opt_present("json") {
            return Ok(format!("{accepted}\n"));
        }
        Ok(format!(
            "version {} is accepted, with the text of version {to}\n",
            accepted["version"]
        ))
    }
}

fn read_version(text: &str) -> Result<u64, CliError> {
    let version = text.parse();
    version.map_err(|_| CliError::Usage(format!("{text:?} is not a version number")))
}

impl AdminAction for Revert {
    fn name(&self) -> &'static str {
        "revert"
    }

    fn arguments(&self) -> &'static str {
        "VERSION"
    }

    fn summary(&self) -> &'static str {
        "return to an earlier document as a new version"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optopt("f", "follows", "the version that is in force", "VERSION");
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.revert(client, matches))
    }
}
