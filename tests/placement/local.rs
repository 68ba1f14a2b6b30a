//! Guarantees and jobs through the interface of a local system.

use {
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{
        connection::{HttpAnswer, HttpClient},
        prelude::*,
        process::{
            clock::SystemClock,
            local::{EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem, example_key},
            settings::LocalSettings,
        },
    },
    serde_json::Value,
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// How often the interface is looked at.
const POLL: Duration = Duration::from_millis(100);

struct Fixture {
    system: LocalSystem,
    client: HttpClient,
}

impl Fixture {
    async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS).expect("valid settings");
        let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
        Self {
            system: system.expect("the system starts"),
            client: HttpClient::new(clock),
        }
    }

    async fn call(
        &self,
        who: &str,
        method: Method,
        path: &str,
        body: &str,
    ) -> HttpAnswer {
        let entry = self.system.entries()[0].http_address();
        let bearer = format!("Bearer {}", example_key(who));
        let headers = [("authorization", bearer.as_str()), ("if-match", "\"1\"")];
        let url = format!("http://{entry}{path}");
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = self.client.call(method, &url, &headers, body, TIMEOUT);
        answer.await.expect("the entry answers")
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
        fixture.system.stop().await;
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
        fixture.system.stop().await;
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
        fixture.system.stop().await;
    });
}
