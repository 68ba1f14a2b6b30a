//! Requests and gang jobs from HTTP to the stand-in workers and back.

use {
    crate::local_fixture::LocalFixture,
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{connection::HttpClientResponse, prelude::*},
};

/// A header without effect, for calls that need no header.
const NO_HEADER: (&str, &str) = ("accept", "*/*");

/// A local system whose first entry receives the calls.
struct Fixture {
    local: LocalFixture,
}

impl Fixture {
    async fn start() -> Self {
        Self {
            local: LocalFixture::start().await,
        }
    }

    async fn call(
        &self,
        account: &str,
        method: Method,
        path: &str,
        body: &str,
    ) -> HttpClientResponse {
        self.local
            .call(0, account, method, path, NO_HEADER, body)
            .await
    }

    /// Waits until a submitted job has ended and returns the response with its result.
    async fn wait_for_result(
        &self,
        account: &str,
        submitted: &HttpClientResponse,
    ) -> HttpClientResponse {
        let path = result_path(submitted);
        let mut result = self.call(account, Method::GET, &path, "").await;
        while result.status == 409 {
            compio::time::sleep(Duration::from_millis(20)).await;
            result = self.call(account, Method::GET, &path, "").await;
        }
        result
    }
}

/// Returns the URL path of a submitted job's result.
fn result_path(submitted: &HttpClientResponse) -> String {
    let id: serde_json::Value = serde_json::from_slice(&submitted.body).expect("JSON");
    format!("/v1/jobs/{}/result", id["id"].as_str().expect("an id"))
}

fn status_and_body(response: &HttpClientResponse) -> String {
    format!(
        "{} {}",
        response.status,
        String::from_utf8_lossy(&response.body).trim()
    )
}

/// A request is answered; an unknown key or request kind is rejected.
#[test]
fn a_request_is_answered() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let kind = "/v1/requests/crash-analysis";
        let own = fixture
            .call("jozi-studios", Method::POST, kind, "dump=17")
            .await;
        let stranger = fixture.call("nobody", Method::POST, kind, "dump=17").await;
        let kind = "/v1/requests/no-such-kind";
        let unknown = fixture.call("jozi-studios", Method::POST, kind, "x").await;
        insta::assert_debug_snapshot!([
            status_and_body(&own),
            status_and_body(&stranger),
            status_and_body(&unknown)
        ]);
        fixture.local.system.stop().await;
    });
}

/// A gang without accelerators runs to its end on all members.
#[test]
fn a_gang_without_accelerators_finishes() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let body = r#"{"kind":"log-sweep","payload":"run_ms=100"}"#;
        let submitted = fixture
            .call("producers", Method::POST, "/v1/jobs", body)
            .await;
        let result = fixture.wait_for_result("producers", &submitted).await;
        insta::assert_debug_snapshot!(status_and_body(&result), @r#""200 log-sweep member 0 finished""#);
        fixture.local.system.stop().await;
    });
}

/// A gang job runs to its end, and its result is visible only to its own account.
#[test]
fn a_gang_job_finishes() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let body = r#"{"kind":"crash-cluster","payload":"run_ms=100"}"#;
        let submitted = fixture
            .call("jozi-studios", Method::POST, "/v1/jobs", body)
            .await;
        let result = fixture.wait_for_result("jozi-studios", &submitted).await;
        let path = result_path(&submitted);
        let stranger = fixture.call("kaap-studios", Method::GET, &path, "").await;
        insta::assert_debug_snapshot!([
            submitted.status.to_string(),
            status_and_body(&result),
            status_and_body(&stranger)
        ]);
        fixture.local.system.stop().await;
    });
}
