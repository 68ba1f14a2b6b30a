//! `limpetquay cancel`.

use {
    super::{AdminAction, AdminClient},
    crate::{prelude::*, process::cli::CliError},
    getopts::{Matches, Options},
    serde_json::{Map, Value, json},
};

/// The options that select the jobs to cancel.
const FILTERS: [&str; 4] = ["account", "kind", "status", "owner"];

/// Cancels the open jobs that match a filter if `--expect` gives their number; without it, only
/// counts them.
pub(super) struct Cancel;

impl Cancel {
    async fn cancel(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let given = FILTERS.iter().filter_map(|name| {
            let value = matches.opt_str(name)?;
            Some(((*name).to_owned(), Value::String(value)))
        });
        let filter: Map<String, Value> = given.collect();
        let expected = matches.opt_get::<usize>("expect");
        let expected = expected.map_err(|e| CliError::Usage(format!("--expect: {e}")))?;
        let request = json!({
            "filter": filter,
            "preview": expected.is_none(),
            "expected": expected,
        });
        let response = client.post("jobs/cancel", &request).await?;
        if matches.opt_present("json") {
            return Ok(format!("{response}\n"));
        }
        if expected.is_some() {
            return Ok(format!("{} jobs are cancelled\n", response["cancelled"]));
        }
        let matching = &response["matching"];
        Ok(format!(
            "{matching} jobs match; --expect {matching} cancels them\n"
        ))
    }
}

impl AdminAction for Cancel {
    fn name(&self) -> &'static str {
        "cancel"
    }

    fn summary(&self) -> &'static str {
        "cancel open jobs by account, kind, status or owner"
    }

    fn add_options(
        &self,
        opts: &mut Options,
    ) {
        for name in FILTERS {
            opts.optopt("", name, "only jobs with this value", "VALUE");
        }
        opts.optopt(
            "",
            "expect",
            "cancel if exactly this many jobs match; without it, only count them",
            "NUMBER",
        );
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.cancel(client, matches))
    }
}
