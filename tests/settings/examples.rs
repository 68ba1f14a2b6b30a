//! The example files of the repository are valid.

use limpetquay::{
    process::{cli::check_text, settings::LocalSettings},
    version::Document,
};

/// The documents and settings of both example services are valid.
#[test]
fn shipped_examples_are_valid() {
    let documents = [
        include_str!("../../examples/triagehub/service.ini"),
        include_str!("../../examples/judging-service/service.ini"),
    ];
    let settings = [
        include_str!("../../examples/triagehub/local.ini"),
        include_str!("../../examples/judging-service/local.ini"),
    ];
    let mut sizes = Vec::new();
    for (document, settings) in documents.iter().zip(settings) {
        let document = Document::parse("service.ini", document).expect("a valid document");
        let settings = LocalSettings::parse("local.ini", settings).expect("valid settings");
        let workers: u32 = settings.data_centres.iter().map(|d| d.workers).sum();
        sizes.push(format!(
            "{}: {} accounts, {workers} workers",
            document.service,
            document.accounts.len(),
        ));
    }
    insta::assert_debug_snapshot!(sizes, @r#"
    [
        "triagehub: 4 accounts, 11 workers",
        "judging-service: 4 accounts, 11 workers",
    ]
    "#);
}

/// The example settings of each kind of process are valid and recognized as that kind.
#[test]
fn shipped_process_settings_are_valid() {
    let files = [
        include_str!("../../examples/triagehub/entry.ini"),
        include_str!("../../examples/triagehub/guard.ini"),
        include_str!("../../examples/triagehub/log.ini"),
        include_str!("../../examples/triagehub/upstream.ini"),
    ];
    let kinds = files.map(|text| check_text("example.ini", text).expect("a valid file"));
    insta::assert_debug_snapshot!(kinds, @r#"
    [
        "entry settings file",
        "guard settings file",
        "stand-in log settings file",
        "stand-in upstream settings file",
    ]
    "#);
}
