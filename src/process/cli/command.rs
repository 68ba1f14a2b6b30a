//! A command of the command line.

use {
    super::CliError,
    getopts::{Matches, Options},
    std::fs,
};

/// One command.
pub trait Command {
    /// Returns the words that call the command, such as `stand-in log`.
    fn name(&self) -> &'static str;

    /// Returns the arguments that follow the options, for the usage line.
    fn arguments(&self) -> &'static str {
        ""
    }

    /// Returns one line that says what the command does.
    fn summary(&self) -> &'static str;

    /// Adds the command's options.
    fn add_options(
        &self,
        _opts: &mut Options,
    ) {
    }

    /// Runs the command.
    ///
    /// # Errors
    /// [`CliError`], which holds the exit code.
    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError>;
}

/// Reads a file to a string.
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

/// Returns the only free argument.
pub(super) fn only_argument(
    matches: &Matches,
    what: &str,
) -> Result<String, CliError> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(CliError::Usage(format!("expected one argument: {what}"))),
    }
}
