//! Guarantees and jobs through the HTTP interface of a local system.

use {
    crate::local_fixture::LocalFixture,
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{connection::HttpClientResponse, prelude::*, process::local::EXAMPLE_DOCUMENT},
    serde_json::Value,
};

/// The interval at which the interface is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The header that names the version of the document that a new one follows.
const FOLLOWS_FIRST: (&str, &str) = ("if-match", "\"1\"");

/// A local system, with calls to its first entry.
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
        who: &str,
        method: Method,
        path: &str,
        body: &str,
    ) -> HttpClientResponse {
        self.local
            .call(0, who, method, path, FOLLOWS_FIRST, body)
            .await
    }

    async fn json(
        &self,
        who: &str,
        path: &str,
    ) -> Value {
        let answer = self.call(who, Method::GET, path, "").await;
        serde_json::from_slice(&answer.body).expect("JSON")
    }
}

/// Every guarantee of the example document is laid out, and each guard enforces its part.
#[test]
fn guards_keep_the_layout() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let path = "/v1/admin/guarantees";
        let mut guarantees = fixture.json("ayanda", path).await;
        while guarantees["layout"] == 0 || guarantees.to_string().contains("\"kept\":false") {
            compio::time::sleep(POLL_INTERVAL).await;
            guarantees = fixture.json("ayanda", path).await;
        }
        guarantees["layout"] = "some number".into();
        insta::assert_snapshot!(serde_json::to_string_pretty(&guarantees).expect("JSON"));
        fixture.local.system.stop().await;
    });
}

/// A document that guarantees more than the fleet has is refused, with the shapes that do not fit.
#[test]
fn too_large_guarantees_are_refused() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        while fixture.json("ayanda", "/v1/admin/guarantees").await["layout"] == 0 {
            compio::time::sleep(POLL_INTERVAL).await;
        }
        let path = "/v1/admin/document";
        let document = EXAMPLE_DOCUMENT.replace("guarantee = 1x2 worker", "guarantee = 1x9 worker");
        let document = document.replace("quota_accelerators = 8\n", "quota_accelerators = 9\n");
        let answer = fixture.call("ayanda", Method::PUT, path, &document).await;
        let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
        insta::assert_debug_snapshot!((answer.status, &body["unmet"]));
        fixture.local.system.stop().await;
    });
}

/// A caller can wait for the end of a job and have it explained while it runs. A job over the
/// account's quota is refused at once.
#[test]
fn jobs_are_waited_for_and_explained() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let body = r#"{"kind":"crash-cluster","payload":"run_ms=1500"}"#;
        let answer = fixture
            .call("kaap-studios", Method::POST, "/v1/jobs", body)
            .await;
        let job: Value = serde_json::from_slice(&answer.body).expect("JSON");
        let path = format!("/v1/jobs/{}", job["id"].as_str().expect("an id"));
        let explain = format!("{path}/explain");
        let mut running = fixture.json("kaap-studios", &explain).await;
        while running["workers"].as_array().is_none_or(Vec::is_empty) {
            compio::time::sleep(POLL_INTERVAL).await;
            running = fixture.json("kaap-studios", &explain).await;
        }
        let ended = fixture
            .json("kaap-studios", &format!("{path}?wait_ms=15000"))
            .await;
        let refused = fixture
            .call("producers", Method::POST, "/v1/jobs", body)
            .await;
        insta::assert_debug_snapshot!((
            &running["summary"],
            running["workers"].as_array().map(Vec::len),
            &ended["status"],
            refused.status,
        ));
        fixture.local.system.stop().await;
    });
}
