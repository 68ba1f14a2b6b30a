//! Invalid files: every fault is reported with its line, its key and what was expected.

use {
    limpetquay::process::cli::check_text,
    std::{fs, path::Path},
};

/// The folder of the invalid files.
const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/settings/bad");

/// Guards against invalid files that are accepted and against changed or missing fault messages.
#[test]
fn bad_files_are_refused_with_every_fault() {
    let entries = fs::read_dir(FOLDER).expect("the folder can be read");
    let mut names: Vec<String> = entries
        .map(|e| {
            e.expect("an entry")
                .file_name()
                .into_string()
                .expect("a name in UTF-8")
        })
        .collect();
    names.sort();
    let messages: String = names.iter().map(|n| check_file(n)).collect();
    insta::assert_snapshot!(messages);
}

fn check_file(name: &str) -> String {
    let text = fs::read_to_string(Path::new(FOLDER).join(name)).expect("the file can be read");
    let faults = check_text(name, &text).expect_err("an invalid file is refused");
    assert!(
        !faults.faults.is_empty(),
        "{name} is refused without a fault"
    );
    faults.to_string()
}
