//! A local system from the shipped example, with a client.

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

const TIMEOUT: Duration = Duration::from_secs(20);

/// A local system with a client.
pub struct LocalFixture {
    pub system: LocalSystem,
    client: HttpClient,
}

impl LocalFixture {
    /// Starts the system.
    pub async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS).expect("valid settings");
        let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
        Self {
            system: system.expect("the system starts"),
            client: HttpClient::new(clock),
        }
    }

    /// Calls an entry with the example key of an account or operator.
    pub async fn call(
        &self,
        entry: usize,
        who: &str,
        method: Method,
        path: &str,
        header: (&str, &str),
        body: &str,
    ) -> HttpClientResponse {
        let address = self.system.entries()[entry].http_address();
        let url = format!("http://{address}{path}");
        let bearer = format!("Bearer {}", example_key(who));
        let headers = [("authorization", bearer.as_str()), header];
        let body = Bytes::copy_from_slice(body.as_bytes());
        let answer = self.client.call(method, &url, &headers, body, TIMEOUT);
        answer.await.expect("the entry answers")
    }
}
