//! The trait of commands, and helpers that read their arguments.

use {
    super::CliError,
    getopts::{Matches, Options},
    std::fs,
};

/// A command of the command line.
pub trait Command {
    /// Returns the command's name, one or more words such as `stand-in log`.
    fn name(&self) -> &'static str;

    /// Returns the arguments after the options, as the usage line shows them.
    fn arguments(&self) -> &'static str {
        ""
    }

    /// Returns a one-line description of the command.
    fn summary(&self) -> &'static str;

    /// Adds the command's own options to `opts`.
    fn add_options(
        &self,
        _opts: &mut Options,
    ) {
    }

    /// Runs the command.
    ///
    /// # Errors
    /// Returns [`CliError`], which determines the exit code.
    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError>;
}

/// Reads a file into a string.
pub(super) fn read_file(path: &str) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}

/// Returns the value of a required option.
pub(super) fn required_option(
    matches: &Matches,
    name: &str,
) -> Result<String, CliError> {
    let value = matches.opt_str(name);
    value.ok_or_else(|| CliError::Usage(format!("the option -{name} is missing")))
}

/// Returns the single positional argument; `what` describes it in the error message.
pub(super) fn only_argument(
    matches: &Matches,
    what: &str,
) -> Result<String, CliError> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(CliError::Usage(format!("expected one argument: {what}"))),
    }
}
