//! The help texts of the command line.

use limpetquay::process::cli::help_pages;

/// Guards against accidental changes of a help text and against lines wider than 80 characters.
#[test]
fn every_command_has_help() {
    let pages = help_pages();
    let widest = pages
        .iter()
        .flat_map(|p| p.lines())
        .map(|l| l.chars().count())
        .max();
    assert!(
        widest.is_some_and(|w| w <= 80),
        "the widest line has {widest:?} characters"
    );
    insta::assert_snapshot!(pages.join("\n----\n"));
}
