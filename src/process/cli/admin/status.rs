//! `limpetquay status`.

use {
    super::{AdminAction, AdminClient},
    crate::{prelude::*, process::cli::CliError},
    getopts::Matches,
    serde_json::Value,
};

/// Prints an entry's view of the log and the upstreams.
pub(super) struct Status;

impl Status {
    async fn status(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let log = client.get_json("log").await?;
        if matches.opt_present("json") {
            return Ok(format!("{log}\n"));
        }
        let entries = client.get_pages("entries").await?;
        Ok(render_status(&log, entries.len()))
    }
}

/// Formats the status as readable lines.
fn render_status(
    log: &Value,
    entry_count: usize,
) -> String {
    let condition = log["condition"].as_str().unwrap_or("unknown");
    let snapshot = match &log["snapshot"] {
        Value::Null => "none".to_owned(),
        snapshot => format!("up to {}", snapshot["upto"]),
    };
    format!(
        "entry      {}\nlog        {condition}\nread to    {} of {}\nkept from  {}\n\
         snapshot   {snapshot}\nto append  {}\nversion    {}\nupstreams  {} of {} have it\n\
         entries    {entry_count}\n",
        log["entry"].as_str().unwrap_or("-"),
        log["next"],
        log["end"],
        log["first"],
        log["waiting_records"],
        log["version"],
        log["upstreams_current"],
        log["upstreams"],
    )
}

impl AdminAction for Status {
    fn name(&self) -> &'static str {
        "status"
    }

    fn summary(&self) -> &'static str {
        "show an entry's view of the log and the upstreams"
    }

    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>> {
        Box::pin(self.status(client, matches))
    }
}
