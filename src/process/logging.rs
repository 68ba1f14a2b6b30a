//! Log lines in JSON.

use tracing_subscriber::EnvFilter;

/// The environment variable that sets the log level, in the syntax of `tracing`.
const LEVEL_VARIABLE: &str = "LIMPETQUAY_LOG";

/// Starts logging to standard error, one JSON object a line. A second call changes nothing.
pub fn start(default_level: &str) {
    let filter = EnvFilter::try_from_env(LEVEL_VARIABLE);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(default_level));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .finish();
    let _ = tracing::subscriber::set_global_default(subscriber);
}
