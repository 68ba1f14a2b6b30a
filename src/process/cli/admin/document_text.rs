//! `limpetquay show` and `limpetquay diff`.

use {
    super::{AdminAction, AdminClient, admin_client::build_query},
    crate::{prelude::*, process::cli::CliError},
    getopts::{Matches, Options},
};

/// Prints the text of a document, or of the difference between two versions.
pub(super) struct DocumentText {
    name: &'static str,
    summary: &'static str,
    path: &'static str,
    /// The options that are passed on in the query, with their help texts.
    options: &'static [(&'static str, &'static str)],
}

impl DocumentText {
    /// Prints the document in force or a retained version.
    pub(super) const SHOW: Self = Self {
        name: "show",
        summary: "print the document in force, or a kept version",
        path: "document",
        options: &[("version", "a kept version")],
    };

    /// Prints the difference between two versions.
    pub(super) const DIFF: Self = Self {
        name: "diff",
        summary: "print what changed between two versions",
        path: "document/diff",
        options: &[
            ("from", "the earlier version; the one before the later"),
            ("to", "the later version; the one in force"),
        ],
    };

    async fn fetch(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let names: Vec<&str> = self.options.iter().map(|o| o.0).collect();
        let query = build_query(matches, &names);
        let text = client.get_text(&format!("{}?{query}", self.path)).await?;
        if matches.opt_present("json") {
            return Ok(format!("{}\n", serde_json::Value::String(text)));
        }
        Ok(text)
    }
}

impl AdminAction for DocumentText {
    fn name(&self) -> &'static str {
        self.name
    }

    fn summary(&self) -> &'static str {
        self.summary
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        for (name, help) in self.options {
            opts.optopt("", name, help, "VERSION");
        }
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.fetch(client, matches))
    }
}
