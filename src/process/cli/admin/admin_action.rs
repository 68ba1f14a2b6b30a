//! The trait of operators' commands, and the list of them.

use {
    super::{
        AdminClient, apply::Apply, cancel::Cancel, document_text::DocumentText, drain::Drain,
        explain::Explain, list::List, revert::Revert, status::Status,
    },
    crate::{prelude::*, process::cli::CliError},
    getopts::{Matches, Options},
};

/// An operator's command, such as `limpetquay accounts`.
pub trait AdminAction {
    /// Returns the command's name, one word.
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

    /// Runs the command and returns its output.
    ///
    /// # Errors
    /// Returns [`CliError`], which determines the exit code.
    fn run<'a>(
        &'a self,
        client: &'a AdminClient,
        matches: &'a Matches,
    ) -> LocalBoxFuture<'a, Result<String, CliError>>;
}

/// Returns all operators' commands, in the order of the help text.
pub fn admin_actions() -> Vec<Box<dyn AdminAction>> {
    vec![
        Box::new(Apply),
        Box::new(DocumentText::SHOW),
        Box::new(List::HISTORY),
        Box::new(DocumentText::DIFF),
        Box::new(Revert),
        Box::new(Status),
        Box::new(List::READERS),
        Box::new(List::ENTRIES),
        Box::new(List::ACCOUNTS),
        Box::new(List::UPSTREAMS),
        Box::new(Drain::DRAIN),
        Box::new(Drain::UNDRAIN),
        Box::new(List::JOBS),
        Box::new(Cancel),
        Box::new(Explain),
        Box::new(List::AUDIT),
    ]
}

/// Runs the operator's command that the arguments name and returns its output.
///
/// # Errors
/// Returns [`CliError`], which determines the exit code.
pub async fn run_admin(
    client: &AdminClient,
    args: &[&str],
) -> Result<String, CliError> {
    let actions = admin_actions();
    let action = actions.iter().find(|a| Some(&a.name()) == args.first());
    let action = action.ok_or_else(|| CliError::Usage("unknown command".to_owned()))?;
    let mut opts = Options::new();
    add_common_options(&mut opts);
    action.add_options(&mut opts);
    let matches = opts.parse(&args[1..]);
    let matches = matches.map_err(|e| CliError::Usage(e.to_string()))?;
    action.run(client, &matches).await
}

/// Adds the options that all operators' commands share.
pub(super) fn add_common_options(opts: &mut Options) {
    opts.optopt("e", "entry", "the entry to call", "ADDRESS");
    opts.optopt(
        "k",
        "key-file",
        "the file with the operator's key; LIMPETQUAY_KEY otherwise",
        "FILE",
    );
    opts.optflag("j", "json", "print JSON");
}
