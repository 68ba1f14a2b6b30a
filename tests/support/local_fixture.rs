//! A test fixture: a local system with the bundled example document, and an HTTP client.

use {
    hyper::Method,
    limpetquay::{
        connection::{HttpClient, HttpClientResponse},
        prelude::*,
        process::{
            clock::SystemClock,
            local::{EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem, example_key},
            settings::LocalSettings,
        },
    },
};

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A running local system and a client of its entries.
pub struct LocalFixture {
    pub system: LocalSystem,
    client: HttpClient,
}

impl LocalFixture {
    /// Starts the system and waits until it is ready.
    pub async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS).expect("valid settings");
        let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
        Self {
            system: system.expect("the system starts"),
            client: HttpClient::new(clock),
        }
    }

    /// Calls the entry with an index, authenticated by the example key of the account or operator
    /// `caller`.
    pub async fn call(
        &self,
        entry: usize,
        caller: &str,
        method: Method,
        path: &str,
        header: (&str, &str),
        body: &str,
    ) -> HttpClientResponse {
        let address = self.system.entries()[entry].http_address();
        let url = format!("http://{address}{path}");
        let bearer = format!("Bearer {}", example_key(caller));
        let headers = [("authorization", bearer.as_str()), header];
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = self.client.call(method, &url, &headers, body, CALL_TIMEOUT);
        answer.await.expect("the entry answers")
    }
}
