//! `limpetquay check`.

use {
    super::{
        CliError, Command,
        command::{only_argument, read_file},
    },
    crate::{
        platform::BootSettings,
        process::{
            output::print_text,
            settings::{
                EntrySettings, GuardSettings, LocalSettings, StandInLogSettings,
                StandInUpstreamSettings,
            },
        },
        version::{Document, Faults},
    },
    getopts::Matches,
};

/// Checks a settings file or a service document and prints its type.
pub(super) struct CheckCommand;

impl Command for CheckCommand {
    fn name(&self) -> &'static str {
        "check"
    }

    fn arguments(&self) -> &'static str {
        "FILE"
    }

    fn summary(&self) -> &'static str {
        "check a settings file or a service document"
    }

    fn run(
        &self,
        matches: &Matches,
    ) -> Result<(), CliError> {
        let path = only_argument(matches, "the file to check")?;
        let text = read_file(&path)?;
        let file_type = check_text(&path, &text)?;
        print_text(&format!("{path}: a valid {file_type}\n"))?;
        Ok(())
    }
}

/// Detects the type of a file from its sections, checks the text and returns the type's name. A
/// text that starts with `{` is a platform settings file, and one without known sections a service
/// document. `path` names the file in messages.
///
/// # Errors
/// Returns all faults of the text.
pub fn check_text(
    path: &str,
    text: &str,
) -> Result<&'static str, Faults> {
    if text.trim_start().starts_with('{') {
        return BootSettings::check(path, text).map(|()| "platform settings file");
    }
    let has = |header: &str| text.lines().any(|l| l.trim_start().starts_with(header));
    if has("[entry") {
        EntrySettings::parse(path, text).map(|_| "entry settings file")
    } else if has("[guard") {
        GuardSettings::parse(path, text).map(|_| "guard settings file")
    } else if has("[stand-in-log") {
        StandInLogSettings::parse(path, text).map(|_| "stand-in log settings file")
    } else if has("[stand-in-upstream") {
        StandInUpstreamSettings::parse(path, text).map(|_| "stand-in upstream settings file")
    } else if has("[workers") {
        LocalSettings::parse(path, text).map(|_| "local settings file")
    } else {
        Document::parse(path, text).map(|_| "service document")
    }
}
