//! Announces an upstream to entries.

use {
    super::{Announcement, Datagram, announcement::MAX_DATAGRAM_BYTES},
    crate::{prelude::*, process::clock::with_timeout},
    compio::net::UdpSocket,
    event_listener::Event,
    std::io,
};

/// The pause between announcements when nothing changes.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest pause between two announcements.
const ANNOUNCE_SPACING: Duration = Duration::from_millis(10);

/// Announces for ever: at each change, and at an interval when there is none.
///
/// # Errors
/// The error of binding the socket.
pub async fn run_announcer<F>(
    clock: Rc<dyn Clock>,
    entries: Vec<SocketAddr>,
    changed: Rc<Event>,
    describe: F,
) -> io::Result<()>
where
    F: Fn() -> Announcement,
{
    let socket = UdpSocket::bind(("0.0.0.0", 0)).await?;
    loop {
        let listener = changed.listen();
        announce(&socket, &entries, describe()).await;
        clock.sleep(ANNOUNCE_SPACING).await;
        with_timeout(&*clock, ANNOUNCE_INTERVAL, listener).await;
    }
}

async fn announce(
    socket: &UdpSocket,
    entries: &[SocketAddr],
    announcement: Announcement,
) {
    let datagram = match postcard::to_stdvec(&Datagram::Announce(announcement)) {
        Ok(datagram) if datagram.len() <= MAX_DATAGRAM_BYTES => datagram,
        _ => {
            tracing::error!("an announcement does not fit a datagram");
            return;
        }
    };
    for entry in entries {
        let sent = socket.send_to(datagram.clone(), *entry).await;
        if let Err(e) = sent.0 {
            tracing::debug!(error = %e, %entry, "announcing failed");
        }
    }
}
