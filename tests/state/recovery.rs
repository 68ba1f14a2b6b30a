//! Recovery of accepted jobs and documents after entries fail or the log is down.

use {
    super::admin::Fixture,
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{
        prelude::*,
        process::{
            local::EXAMPLE_DOCUMENT,
            stand_in::LogFaults,
            state::{JobStatus, LogCondition},
        },
    },
    std::collections::BTreeMap,
};

/// Number of submitted jobs; more than can run at the same time.
const JOBS: usize = 8;

async fn submit_jobs(fixture: &Fixture) {
    for i in 0..JOBS {
        let body = r#"{"kind":"crash-cluster","payload":"run_ms=400"}"#;
        let entry = i % fixture.system.entries().len();
        let account = "jozi-studios";
        let submitted = fixture
            .call(entry, account, Method::POST, "/v1/jobs", &[], body)
            .await;
        assert_eq!(submitted.0, 201, "{}", submitted.1);
    }
}

/// Waits until no job is open and returns the number of jobs by status.
async fn wait_for_ends(fixture: &Fixture) -> BTreeMap<String, usize> {
    let state = fixture.system.entries()[0].entry().state.clone();
    loop {
        let change = state.change_listener();
        let statuses: Vec<JobStatus> = state.fold().jobs().map(|j| j.status()).collect();
        if statuses.len() == JOBS && !statuses.contains(&JobStatus::Open) {
            let mut counts = BTreeMap::new();
            for status in statuses {
                *counts.entry(status.to_string()).or_default() += 1;
            }
            return counts;
        }
        change.await;
    }
}

/// All entries fail at the same time. After a restart they take the jobs over, and every job
/// finishes.
#[test]
fn jobs_survive_all_entries() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut fixture = Fixture::start().await;
        submit_jobs(&fixture).await;
        let restarted = fixture.system.restart_all_entries().await;
        restarted.expect("the entries restart");
        let counts = wait_for_ends(&fixture).await;
        let version = fixture.system.entries()[0].entry().state.fold().version();
        insta::assert_debug_snapshot!((counts, version));
        fixture.system.stop().await;
    });
}

/// One entry fails. The other takes its jobs over after the owner timeout, and every job finishes.
#[test]
fn jobs_survive_one_entry() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut fixture = Fixture::start().await;
        submit_jobs(&fixture).await;
        fixture.system.kill_entry(1);
        let counts = wait_for_ends(&fixture).await;
        let state = fixture.system.entries()[0].entry().state.clone();
        let taken_over = state.fold().jobs().filter(|j| j.ownership > 1).count();
        insta::assert_debug_snapshot!((counts, taken_over > 0));
        fixture.system.stop().await;
    });
}

/// An entry that starts while the log is down loads the document from another entry and reports the
/// log as unreachable.
#[test]
fn an_entry_starts_without_the_log() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut fixture = Fixture::start().await;
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        fixture.system.log().set_faults(down);
        let replaced = fixture.system.replace_entry(1).await;
        replaced.expect("the entry restarts");
        let state = fixture.system.entries()[1].entry().state.clone();
        while state.log_view().condition != LogCondition::Unreachable {
            fixture
                .system
                .clock()
                .sleep(Duration::from_millis(20))
                .await;
        }
        let during_outage = (state.fold().version(), state.log_view().condition);
        fixture.system.log().set_faults(LogFaults::default());
        while state.log_view().condition != LogCondition::Following {
            state.wait_for_change().await;
        }
        insta::assert_debug_snapshot!((during_outage, state.fold().version()));
        fixture.system.stop().await;
    });
}

/// Only the bootstrap operator named in the settings may submit the first document; after that,
/// only the operators that the document names may submit.
#[test]
fn the_first_document_is_submitted_by_the_bootstrap_operator() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start_empty().await;
        let path = "/v1/admin/document";
        let put = async |name: &str, follows: &str| {
            let headers = [("if-match", follows)];
            let text = EXAMPLE_DOCUMENT;
            let answer = fixture.call(0, name, Method::PUT, path, &headers, text);
            let (status, body) = answer.await;
            format!("{name} following {follows}: {status} {}", body.len() < 20)
        };
        let stranger = put("ayanda", "0").await;
        let first = put("first-operator", "0").await;
        let again = put("first-operator", "1").await;
        let named = put("ayanda", "1").await;
        insta::assert_debug_snapshot!([stranger, first, again, named]);
        fixture.system.stop().await;
    });
}
