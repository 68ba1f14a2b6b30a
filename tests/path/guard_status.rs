//! Tests of the endpoints of a guard for health checks and metrics.

use {
    compio::runtime::Runtime,
    limpetquay::{
        connection::HttpClient,
        prelude::*,
        process::{
            clock::SystemClock,
            local::{EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem},
            settings::LocalSettings,
        },
    },
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A guard reports healthy and ready once it has a document, and not ready while it drains. Its
/// metrics have help texts and include the memory of the process.
#[test]
fn a_guard_reports_its_health_and_metrics() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS).expect("valid settings");
        let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
        let system = system.expect("the system starts");
        let client = HttpClient::new(clock);
        let guard = &system.guards()[0];
        let address = guard.http_address().expect("an address");
        let get = async |path: &str| {
            let answer = client
                .get(&format!("http://{address}{path}"), TIMEOUT)
                .await;
            let answer = answer.expect("the guard answers");
            (
                answer.status,
                String::from_utf8_lossy(&answer.body).into_owned(),
            )
        };
        let mut seen = vec![get("/healthz").await, get("/readyz").await];
        guard.guard().set_draining(true);
        seen.push(get("/readyz").await);
        guard.guard().set_draining(false);
        let (_, metrics) = get("/metrics").await;
        let resident = metrics
            .lines()
            .find(|l| l.starts_with("limpetquay_process_resident_bytes"));
        let bytes = resident
            .and_then(|l| l.split(' ').nth(1))
            .and_then(|b| b.parse::<u64>().ok());
        assert!(bytes.is_some_and(|b| b > 1_000_000), "{resident:?}");
        let help: Vec<&str> = metrics
            .lines()
            .filter(|l| l.starts_with("# HELP"))
            .collect();
        insta::assert_debug_snapshot!((seen, help));
        system.stop().await;
    });
}
