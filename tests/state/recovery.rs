//! What was accepted survives the entries that accepted it.

use {
    super::admin::Fixture, compio::runtime::Runtime, hyper::Method,
    limpetquay::process::state::JobStatus, std::collections::BTreeMap,
};

/// The number of submitted jobs; more than can run at once.
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

/// Waits until no job is open, and counts the jobs by status.
async fn wait_for_ends(fixture: &Fixture) -> BTreeMap<String, usize> {
    let state = fixture.system.entries()[0].entry().state.clone();
    loop {
        let change = state.change();
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

/// All entries die at once; their next starts take the jobs over, and every job finishes.
#[test]
fn jobs_survive_all_entries() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut fixture = Fixture::start().await;
        submit_jobs(&fixture).await;
        let restarted = fixture.system.restart_all_entries().await;
        restarted.expect("entries start anew");
        let counts = wait_for_ends(&fixture).await;
        let version = fixture.system.entries()[0].entry().state.fold().version();
        insta::assert_debug_snapshot!((counts, version));
        fixture.system.stop().await;
    });
}

/// One entry dies; the other takes its jobs over after the bound, and every job finishes.
#[test]
fn jobs_survive_one_entry() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut fixture = Fixture::start().await;
        submit_jobs(&fixture).await;
        fixture.system.kill_entry(1);
        let counts = wait_for_ends(&fixture).await;
        let state = fixture.system.entries()[0].entry().state.clone();
        let taken = state.fold().jobs().filter(|j| j.ownership > 1).count();
        insta::assert_debug_snapshot!((counts, taken > 0));
        fixture.system.stop().await;
    });
}
