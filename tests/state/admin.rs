//! Administration over HTTP, tested on a local system.

use {
    compio::runtime::Runtime,
    hyper::Method,
    limpetquay::{
        connection::HttpClient,
        prelude::*,
        process::{
            clock::SystemClock,
            local::{EXAMPLE_DOCUMENT, LocalSystem, example_key},
            settings::{Bootstrap, LocalSettings},
            stand_in::LogFaults,
        },
        version::KeyHash,
    },
    serde_json::Value,
};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of one data centre with two entries and two workers.
const SETTINGS: &str = "[workers]\nslots = 8\nconnections = 64\naccelerators = 8\nper_rack = 3\n\
                        [data-centre jozi-1]\nregion = jozi\nentries = 2\nworkers = 2\n";

/// A local system and an HTTP client for it.
pub struct Fixture {
    pub system: LocalSystem,
    client: HttpClient,
}

impl Fixture {
    pub async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", SETTINGS).expect("valid settings");
        let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
        Self {
            system: system.expect("the system starts"),
            client: HttpClient::new(clock),
        }
    }

    /// Starts a system without a document, where `first-operator` may submit one.
    pub async fn start_empty() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", SETTINGS).expect("valid settings");
        let bootstrap = Bootstrap {
            operator: "first-operator".into(),
            key: KeyHash::of(&example_key("first-operator")),
        };
        let system = LocalSystem::start_without_document(&settings, bootstrap, clock.clone()).await;
        Self {
            system: system.expect("the system starts"),
            client: HttpClient::new(clock),
        }
    }

    /// Sends a request to an entry and returns status and body.
    pub async fn call(
        &self,
        entry: usize,
        name: &str,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, String) {
        let address = self.system.entries()[entry].http_address();
        let bearer = format!("Bearer {}", example_key(name));
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        let url = format!("http://{address}{path}");
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = self.client.call(method, &url, &all, body, TIMEOUT).await;
        let answer = answer.expect("the entry answers");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        (answer.status, text)
    }

    async fn put(
        &self,
        entry: usize,
        name: &str,
        follows: &str,
        text: &str,
    ) -> (u16, String) {
        let headers = [("if-match", follows)];
        let path = "/v1/admin/document";
        self.call(entry, name, Method::PUT, path, &headers, text)
            .await
    }

    async fn get(
        &self,
        path: &str,
    ) -> (u16, String) {
        let path = format!("/v1/admin/{path}");
        self.call(0, "pieter", Method::GET, &path, &[], "").await
    }
}

/// Returns the status and the named members of a JSON answer, in the order of the names.
fn members(
    answer: &(u16, String),
    names: &[&str],
) -> String {
    let json: Value = serde_json::from_str(&answer.1).expect("JSON");
    let members: Vec<String> = names.iter().map(|n| format!("{n} {}", json[n])).collect();
    format!("{} {}", answer.0, members.join(", "))
}

/// Two concurrent submissions follow the same version: one is accepted, the other is refused with a
/// diff against the accepted one.
#[test]
fn racing_operators_get_one_acceptance() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let one = EXAMPLE_DOCUMENT.replace("max_wait = 30s", "max_wait = 31s");
        let other = EXAMPLE_DOCUMENT.replace("max_wait = 30s", "max_wait = 32s");
        let (first, second) = futures_util::future::join(
            fixture.put(0, "ayanda", "\"1\"", &one),
            fixture.put(1, "ayanda", "\"1\"", &other),
        )
        .await;
        let accepted = [&first, &second].into_iter().filter(|a| a.0 == 200);
        let refused = [&first, &second].into_iter().find(|a| a.0 == 412);
        let refused: Value = serde_json::from_str(&refused.expect("a conflict").1).expect("JSON");
        let diff = refused["diff"].as_str().expect("a diff");
        let changes = diff.lines().filter(|l| l.contains("max_wait = 3"));
        insta::assert_debug_snapshot!((
            accepted.count(),
            refused["type"].to_string(),
            refused["in_force"].to_string(),
            changes.count(),
        ));
        fixture.system.stop().await;
    });
}

/// Submissions that are refused change nothing. Also covers roles, history, diff and reverting to
/// an earlier text.
#[test]
fn documents_are_administered() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let faulty = EXAMPLE_DOCUMENT.replace("share = 4", "share = none");
        let changed = EXAMPLE_DOCUMENT.replace("share = 4", "share = 5");
        let no_role = fixture.put(0, "pieter", "\"1\"", &changed).await;
        let stranger = fixture.put(0, "nobody", "\"1\"", &changed).await;
        let bad = fixture.put(0, "ayanda", "\"1\"", &faulty).await;
        let no_version = fixture
            .call(
                0,
                "ayanda",
                Method::PUT,
                "/v1/admin/document",
                &[],
                &changed,
            )
            .await;
        let good = fixture.put(0, "ayanda", "1", &changed).await;
        let diff = fixture.get("document/diff?from=1&to=2").await;
        let path = "/v1/admin/document/revert";
        let body = "{\"to\":1,\"follows\":2}";
        let reverted = fixture
            .call(0, "ayanda", Method::POST, path, &[], body)
            .await;
        let text = fixture.get("document").await;
        let history = fixture.get("document/history?limit=2").await;
        insta::assert_debug_snapshot!([
            members(&no_role, &["detail"]),
            members(&stranger, &["detail"]),
            members(&bad, &["type", "faults"]),
            members(&no_version, &["type"]),
            members(&good, &["version"]),
            diff.1,
            members(&reverted, &["version"]),
            format!("first text again: {}", text.1 == EXAMPLE_DOCUMENT),
            members(&history, &["next"]),
        ]);
        fixture.system.stop().await;
    });
}

/// A drain stays in force when the guard restarts, and the change is in the audit history.
#[test]
fn drains_last() {
    Runtime::new().expect("a runtime").block_on(async {
        let mut fixture = Fixture::start().await;
        let path = "/v1/admin/upstreams/jozi-1-w1/drain";
        let drained = fixture.call(0, "ayanda", Method::POST, path, &[], "").await;
        let replaced = fixture.system.replace_guard(0).await;
        replaced.expect("the guard restarts");
        let mut found = String::new();
        while !found.contains("jozi-1-w1 \"draining\" \"ayanda\"") {
            compio::time::sleep(Duration::from_millis(50)).await;
            let list = fixture.get("upstreams").await;
            let list: Value = serde_json::from_str(&list.1).expect("JSON");
            let rows = list["items"].as_array().expect("rows").iter();
            let rows = rows.map(|r| {
                let name = r["upstream"].as_str().unwrap_or_default();
                format!("{name} {} {}", r["serving"], r["drained_by"])
            });
            found = rows.collect::<Vec<String>>().join("; ");
        }
        let audit = fixture.get("audit").await;
        let audit: Value = serde_json::from_str(&audit.1).expect("JSON");
        let entry = &audit["items"][0];
        insta::assert_debug_snapshot!((
            members(&drained, &["drained", "guard_told"]),
            entry["operator"].to_string(),
            entry["action"].to_string(),
            entry["from_version"].to_string(),
        ));
        fixture.system.stop().await;
    });
}

/// A cancellation by filter can be previewed, cancels nothing if the number of matching jobs
/// differs from the expected one, and needs a filter.
#[test]
fn jobs_are_cancelled_by_filter() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        for _ in 0..3 {
            let body = r#"{"kind":"crash-cluster","payload":"run_ms=60000"}"#;
            let path = "/v1/jobs";
            let account = "jozi-studios";
            fixture
                .call(0, account, Method::POST, path, &[], body)
                .await;
        }
        let path = "/v1/admin/jobs/cancel";
        let filter = "\"filter\":{\"account\":\"jozi-studios\"}";
        let cancel = async |more: &str| {
            let body = format!("{{{filter}{more}}}");
            fixture
                .call(0, "ayanda", Method::POST, path, &[], &body)
                .await
        };
        let preview = cancel(",\"preview\":true").await;
        let changed = cancel(",\"expected\":2").await;
        let done = cancel(",\"expected\":3").await;
        let unfiltered = fixture
            .call(0, "ayanda", Method::POST, path, &[], "{\"filter\":{}}")
            .await;
        insta::assert_debug_snapshot!([
            members(&preview, &["matching"]),
            members(&changed, &["type", "detail"]),
            members(&done, &["cancelled", "not_recorded", "unknown"]),
            members(&unfiltered, &["detail"]),
        ]);
        fixture.system.stop().await;
    });
}

/// While the log is down, a change is refused with the time after which to retry, and requests are
/// still answered.
#[test]
fn an_outage_is_reported() {
    Runtime::new().expect("a runtime").block_on(async {
        let fixture = Fixture::start().await;
        let down = LogFaults {
            down: true,
            ..LogFaults::default()
        };
        fixture.system.log().set_faults(down);
        let changed = EXAMPLE_DOCUMENT.replace("share = 4", "share = 5");
        let put = fixture.put(0, "ayanda", "1", &changed).await;
        let path = "/v1/requests/crash-analysis";
        let request = fixture
            .call(0, "jozi-studios", Method::POST, path, &[], "dump=1")
            .await;
        fixture.system.log().set_faults(LogFaults::default());
        let mut again = fixture.put(0, "ayanda", "1", &changed).await;
        while again.0 == 503 {
            again = fixture.put(0, "ayanda", "1", &changed).await;
        }
        insta::assert_debug_snapshot!([
            members(&put, &["type", "detail", "retry_after_s"]),
            format!("{} {}", request.0, request.1),
            members(&again, &["version"]),
        ]);
        fixture.system.stop().await;
    });
}
