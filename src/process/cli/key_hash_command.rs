//! `limpetquay key-hash`.

use {
    super::{CliError, Command},
    crate::process::output::print_text,
    crate::version::KeyHash,
    getopts::Matches,
    std::io,
};

/// Prints the hash of a bearer key, the form in which documents store keys.
pub(super) struct KeyHashCommand;

impl Command for KeyHashCommand {
    fn name(&self) -> &'static str {
        "key-hash"
    }

    fn summary(&self) -> &'static str {
        "read a key from standard input and print its hash"
    }

    fn run(
        &self,
        _matches: &Matches,
    ) -> Result<(), CliError> {
        let mut line = String::new();
        io::stdin().read_line(&mut line)?;
        print_text(&format!(
            "{}\n",
            KeyHash::of(line.trim_end_matches(['\r', '\n']))
        ))?;
        Ok(())
    }
}
