//! Commands that print a list of the administration interface.

use {
    super::{AdminAction, AdminClient, admin_client::build_query},
    crate::{
        prelude::*,
        process::{bench::Table, cli::CliError},
    },
    getopts::{Matches, Options},
    serde_json::Value,
};

/// The maximum length of a cell, in characters, so that tables fit 80 columns.
const MAX_CELL_CHARS: usize = 20;

/// Prints a list of the administration interface as a table.
pub(super) struct List {
    name: &'static str,
    summary: &'static str,
    path: &'static str,
    /// The title of each column and the JSON member that it shows.
    columns: &'static [(&'static str, &'static str)],
    /// The options that are passed on in the query.
    filters: &'static [&'static str],
}

impl List {
    /// Lists the retained versions of the document.
    pub(super) const HISTORY: Self = Self {
        name: "history",
        summary: "list the accepted versions of the document",
        path: "document/history",
        columns: &[
            ("version", "version"),
            ("operator", "operator"),
            ("accepted (ms)", "accepted_ms"),
            ("bytes", "bytes"),
        ],
        filters: &[],
    };

    /// Lists the client accounts.
    pub(super) const ACCOUNTS: Self = Self {
        name: "accounts",
        summary: "list client accounts with usage against guarantees",
        path: "accounts",
        columns: &[
            ("account", "account"),
            ("guaranteed", "guaranteed_accelerators"),
            ("quota", "quota_accelerators"),
            ("asked", "asked_accelerators"),
            ("jobs", "open_jobs"),
            ("max jobs", "max_jobs"),
            ("share", "share"),
        ],
        filters: &[],
    };

    /// Lists the upstreams.
    pub(super) const UPSTREAMS: Self = Self {
        name: "upstreams",
        summary: "list upstreams",
        path: "upstreams",
        columns: &[
            ("upstream", "upstream"),
            ("rack", "rack"),
            ("serving", "serving"),
            ("slots", "slots"),
            ("used", "slots_in_use"),
            ("accel.", "accelerators"),
            ("free", "accelerators_free"),
            ("version", "version"),
        ],
        filters: &[],
    };

    /// Lists the jobs of all accounts.
    pub(super) const JOBS: Self = Self {
        name: "jobs",
        summary: "list jobs of all accounts",
        path: "jobs",
        columns: &[
            ("id", "id"),
            ("account", "account"),
            ("kind", "kind"),
            ("status", "status"),
        ],
        filters: &["account", "kind", "status", "owner"],
    };

    /// Lists the live entries.
    pub(super) const ENTRIES: Self = Self {
        name: "entries",
        summary: "list live entries",
        path: "entries",
        columns: &[
            ("entry", "entry"),
            ("region", "region"),
            ("data centre", "data_centre"),
            ("serving", "serving"),
        ],
        filters: &[],
    };

    /// Lists how far each entry has read the log.
    pub(super) const READERS: Self = Self {
        name: "readers",
        summary: "list how far each entry has read the log",
        path: "log/readers",
        columns: &[
            ("entry", "entry"),
            ("log", "condition"),
            ("read to", "next"),
            ("version", "version"),
        ],
        filters: &[],
    };

    /// Lists the recorded drains and cancellations by operators.
    pub(super) const AUDIT: Self = Self {
        name: "audit",
        summary: "list what operators drained and cancelled",
        path: "audit",
        columns: &[
            ("operator", "operator"),
            ("at (ms)", "appended_ms"),
            ("from version", "from_version"),
            ("action", "action"),
        ],
        filters: &[],
    };

    async fn fetch(
        &self,
        client: &AdminClient,
        matches: &Matches,
    ) -> Result<String, CliError> {
        let query = build_query(matches, self.filters);
        let items = client.get_pages(&format!("{}?{query}", self.path)).await?;
        if matches.opt_present("json") {
            return Ok(format!("{}\n", Value::Array(items)));
        }
        Ok(self.table(&items).to_text())
    }

    fn table(
        &self,
        items: &[Value],
    ) -> Table {
        let titles: Vec<&str> = self.columns.iter().map(|c| c.0).collect();
        let mut table = Table::new(self.name, &titles);
        for item in items {
            let cells = self.columns.iter().map(|c| format_cell(&item[c.1]));
            table.push_row(cells.collect());
        }
        table
    }
}

/// Formats a value as a cell, truncated to [`MAX_CELL_CHARS`].
fn format_cell(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    if text.chars().count() <= MAX_CELL_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_CELL_CHARS - 2).collect();
    format!("{start}..")
}

impl AdminAction for List {
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
        for name in self.filters {
            opts.optopt("", name, "only rows with this value", "VALUE");
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
