//! `limpetquay apply`.

use {
    super::{AdminAction, AdminClient},
    crate::{
        prelude::*,
        process::cli::{
            CliError,
            command::{only_argument, read_file, required_option},
        },
    },
    getopts::{Matches, Options},
};

/// Checks a service document and submits it to an entry.
pub(super) struct Apply;

impl Apply {
    async fn apply(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let path = only_argument(matches, "the document")?;
        let follows = required_option(matches, "f")?;
        let text = read_file(&path)?;
        Document::parse(&path, &text)?;
        let accepted = client.put_document(&follows, text).await?;
        if matches.opt_present("json") {
            return Ok(format!("{accepted}\n"));
        }
        Ok(format!("version {} is accepted\n", accepted["version"]))
    }
}

impl AdminAction for Apply {
    fn name(&self) -> &'static str {
        "apply"
    }

    fn arguments(&self) -> &'static str {
        "FILE"
    }

    fn summary(&self) -> &'static str {
        "submit a service document"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        opts.optopt(
            "f",
            "follows",
            "the version that the document follows; 0 for the first",
            "VERSION",
        );
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.apply(client, matches))
    }
}
