//! Operator commands run against a local system.

use {
    super::admin::Fixture,
    compio::runtime::Runtime,
    limpetquay::process::{
        cli::{AdminClient, run_admin},
        local::example_key,
    },
};

/// Largest width of a printed line, in characters.
const MAX_WIDTH: usize = 80;

/// Runs a command and returns its output or error message, after checking its width.
async fn run(
    client: &AdminClient,
    line: &str,
) -> String {
    let args: Vec<&str> = line.split(' ').collect();
    let printed = run_admin(client, &args).await;
    let text = printed.unwrap_or_else(|e| format!("fails: {e}\n"));
    let widest = text.lines().map(|l| l.chars().count()).max();
    assert!(
        widest.unwrap_or_default() <= MAX_WIDTH,
        "{line} is too wide"
    );
    format!("$ {line}\n{text}")
}

/// Checks the output of each command, that it fits 80 columns, and that invalid usage is refused.
#[test]
fn commands_print_results() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let address = fixture.system.entries()[0].http_address();
        let clock = fixture.system.clock().clone();
        let client = AdminClient::new(clock, address, &example_key("ayanda"));
        let readers = run(&client, "readers").await;
        assert!(readers.contains("entry-jozi-1-2"), "{readers}");
        let mut printed = Vec::new();
        for line in [
            "entries",
            "accounts",
            "jobs",
            "drain jozi-1-w1",
            "drain no-such-upstream",
            "undrain jozi-1-w1",
            "revert 1",
            "revert -f 1 9",
            "revert -f 1 1",
            "revert -f 1 1",
            "diff --from 1 --to 2",
            "cancel --account producers",
            "cancel --account producers --expect 1",
            "cancel",
            "jobs --status open --json",
            "explain j0000000000000000",
        ] {
            printed.push(run(&client, line).await);
        }
        insta::assert_snapshot!(printed.join("\n"));
        fixture.system.stop().await;
    });
}
