//! Tests of requests over HTTP.

use {
    crate::local_fixture::LocalFixture,
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{connection::HttpClientResponse, prelude::*, process::stand_in::RunMode},
};

/// Number of requests that are sent at once.
const BURST: usize = 200;

/// A local system to which one account sends requests.
struct Fixture {
    local: LocalFixture,
}

impl Fixture {
    async fn start() -> Self {
        Self {
            local: LocalFixture::start().await,
        }
    }

    async fn post(
        &self,
        entry: usize,
        kind: &str,
        header: (&str, &str),
        body: &str,
    ) -> HttpClientResponse {
        let path = format!("/v1/requests/{kind}");
        let answer = self
            .local
            .call(entry, "jozi-studios", Method::POST, &path, header, body);
        answer.await
    }
}

/// Returns the status with the type of the problem, or with the answer's body.
fn text(answer: &HttpClientResponse) -> String {
    let body = String::from_utf8_lossy(&answer.body);
    let problem: Option<serde_json::Value> = serde_json::from_str(&body).ok();
    let kind = problem.as_ref().and_then(|p| p["type"].as_str());
    format!("{} {}", answer.status, kind.unwrap_or(body.trim()))
}

/// A key returns the recorded answer through another entry. Another body, a key that is too long
/// and a malformed deadline are rejected.
#[test]
fn keys_are_answered_with_their_statuses() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let key = ("idempotency-key", "sweep-7");
        let long = "k".repeat(129);
        let kind = "duplicate-sweep";
        let first = fixture.post(0, kind, key, "ticket=1").await;
        let again = loop {
            let again = fixture.post(1, kind, key, "ticket=1").await;
            if again.status != 409 {
                break again;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        };
        let other = fixture.post(2, kind, key, "ticket=2").await;
        let bad = fixture.post(0, kind, ("idempotency-key", &long), "x").await;
        let late = fixture.post(0, kind, ("x-deadline-ms", "soon"), "x").await;
        let answers = [first, again, other, bad, late];
        insta::assert_debug_snapshot!(answers.each_ref().map(text));
        fixture.local.system.stop().await;
    });
}

/// An answer with the identifier of another request is not returned to the caller, and the request
/// is not retried.
#[test]
fn a_crossed_answer_is_not_passed_on() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        for upstream in fixture.local.system.upstreams() {
            upstream.requests().set_mode(RunMode::MismatchedId);
        }
        let none = ("x-unused", "-");
        let answer = fixture.post(0, "duplicate-sweep", none, "ticket=1").await;
        let upstreams = fixture.local.system.upstreams().iter();
        let runs: u32 = upstreams
            .flat_map(|u| u.requests().run_counts().into_values())
            .sum();
        insta::assert_debug_snapshot!((text(&answer), runs));
        fixture.local.system.stop().await;
    });
}

/// No upstream runs more requests at once than it has slots, with a burst through all entries, and
/// each caller receives the answer to its own request.
#[test]
fn slots_hold_over_all_entries() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let entries = fixture.local.system.entries().len();
        let none = ("x-unused", "-");
        let calls = (0..BURST).map(|i| {
            let fixture = &fixture;
            async move {
                let body = format!("run_ms=30&dump={i}");
                let answer = fixture
                    .post(i % entries, "crash-analysis", none, &body)
                    .await;
                answer.status != 200 || text(&answer).ends_with(&body)
            }
        });
        let own = futures_util::future::join_all(calls).await;
        let upstreams = fixture.local.system.upstreams().iter();
        let most = upstreams.map(|u| u.requests().max_concurrent_runs()).max();
        let is_within = most.is_some_and(|n| n <= 8);
        insta::assert_debug_snapshot!((own.iter().all(|own| *own), is_within), @r"
        (
            true,
            true,
        )
        ");
        fixture.local.system.stop().await;
    });
}
