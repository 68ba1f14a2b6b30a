//! Options of sockets.

use compio::net::TcpStream;

/// Lets a connection send small messages at once. Where that is not possible, messages come some
/// milliseconds late, which is logged and harms nothing else.
pub fn send_without_delay(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(error = %e, "small messages of a connection are delayed");
    }
}
