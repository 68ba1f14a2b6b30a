//! Guarantees and jobs through the interface of a local system.

use {
    crate::local_fixture::LocalFixture,
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{connection::HttpAnswer, prelude::*, process::local::EXAMPLE_DOCUMENT},
    serde_json::Value,
};

/// How often the interface is looked at.
const POLL: Duration = Duration::from_millis(100);

/// The header by which documents name the version that they follow.
const FOLLOWS_FIRST: (&str, &str) = ("if-match", "\"1\"");

/// A local system whose first entry is called.
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
    ) -> HttpAnswer {
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

/// Every guarantee of the example is laid, and each guard comes to keep its part.
#[test]
fn guards_keep_the_layout() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let path = "/v1/admin/guarantees";
        let mut guarantees = fixture.json("ayanda", path).await;
        while guarantees["layout"] == 0 || guarantees.to_string().contains("\"kept\":false") {
            compio::time::sleep(POLL).await;
            guarantees = fixture.json("ayanda", path).await;
        }
        guarantees["layout"] = "some number".into();
        insta::assert_snapshot!(serde_json::to_string_pretty(&guarantees).expect("JSON"));
        fixture.local.system.stop().await;
    });
}

/// A document that promises more than there is is refused with the shapes that do not fit.
#[test]
fn too_large_guarantees_are_refused() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        while fixture.json("ayanda", "/v1/admin/guarantees").await["layout"] == 0 {
            compio::time::sleep(POLL).await;
        }
        let path = "/v1/admin/document";
        let more = EXAMPLE_DOCUMENT.replace("guarantee = 1x2 worker", "guarantee = 1x9 worker");
        let more = more.replace("quota_accelerators = 8\n", "quota_accelerators = 9\n");
        let answer = fixture.call("ayanda", Method::PUT, path, &more).await;
        let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
        insta::assert_debug_snapshot!((answer.status, &body["unmet"]));
        fixture.local.system.stop().await;
    });
}

/// A job is waited for, and explained while it runs; one over the account's quota is told at once.
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
            compio::time::sleep(POLL).await;
            running = fixture.json("kaap-studios", &explain).await;
        }
        let ended = fixture
            .json("kaap-studios", &format!("{path}?wait_ms=15000"))
            .await;
        let never = fixture
            .call("producers", Method::POST, "/v1/jobs", body)
            .await;
        insta::assert_debug_snapshot!((
            &running["summary"],
            running["workers"].as_array().map(Vec::len),
            &ended["status"],
            never.status,
        ));
        fixture.local.system.stop().await;
    });
}
