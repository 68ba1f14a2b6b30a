//! `limpetquay trace`.

use {
    super::{CliError, Command, command::read_file},
    crate::process::{decision_report::JobTrace, output::print_text},
    getopts::Matches,
};

/// Merges the log lines about one job from several files in time order.
pub(super) struct TraceCommand;

impl Command for TraceCommand {
    fn name(&self) -> &'static str {
        "trace"
    }

    fn arguments(&self) -> &'static str {
        "ID FILE..."
    }

    fn summary(&self) -> &'static str {
        "merge the log lines about one job in time order"
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let [id, paths @ ..] = matches.free.as_slice() else {
            return Err(CliError::Usage(
                "expected a job's id and log files".to_owned(),
            ));
        };
        if paths.is_empty() {
            return Err(CliError::Usage("expected at least one log file".to_owned()));
        }
        let mut trace = JobTrace::new(id);
        for path in paths {
            let text = read_file(path)?;
            let source = path.rsplit('/').next().unwrap_or(path);
            for line in text.lines() {
                trace.read_line(source, line);
            }
        }
        print_text(&trace.render())?;
        Ok(())
    }
}
