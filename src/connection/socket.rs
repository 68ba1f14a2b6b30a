//! Socket options.

use compio::net::TcpStream;

/// Disables Nagle's algorithm, so that small messages are sent immediately. A failure is only
/// logged: it delays messages by some milliseconds and has no other effect.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "failed to set TCP_NODELAY; small messages may be delayed");
    }
}
