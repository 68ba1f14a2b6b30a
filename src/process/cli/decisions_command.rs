//! `limpetquay decisions`.

use {
    super::{CliError, Command},
    crate::process::decision_report::DecisionReport,
    crate::process::output::print_text,
    getopts::Matches,
    std::{
        fs::File,
        io::{self, BufRead, BufReader},
    },
};

/// Counts the decisions in log files or standard input.
pub(super) struct DecisionsCommand;

impl Command for DecisionsCommand {
    fn name(&self) -> &'static str {
        "decisions"
    }

    fn arguments(&self) -> &'static str {
        "[FILE...]"
    }

    fn summary(&self) -> &'static str {
        "count the decisions in log files, or in standard input"
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let mut report = DecisionReport::default();
        if matches.free.is_empty() {
            read_lines(&mut report, io::stdin().lock())?;
        }
        for path in &matches.free {
            let file = File::open(path).map_err(|source| CliError::File {
                path: path.clone(),
                source,
            })?;
            read_lines(&mut report, BufReader::new(file))?;
        }
        print_text(&report.table().to_text())?;
        print_text(&format!(
            "{} lines contain no decision\n",
            report.non_decision_lines()
        ))?;
        Ok(())
    }
}

fn read_lines<R>(
    report: &mut DecisionReport,
    reader: R,
) -> Result<(), CliError>
where
    R: BufRead,
{
    for line in reader.lines() {
        report.read_line(&line?);
    }
    Ok(())
}
