//! Announces many generated upstreams from one socket.

use {
    crate::{
        prelude::*,
        process::membership::{
            Announce, Announcement, Datagram, DatagramLink, ServingState, UdpLink, WatcherRole,
        },
    },
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::sync::atomic::{AtomicBool, Ordering},
};

/// The interval between announcements of one upstream.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the announcement of a generated upstream; `place` is its region and data centre.
pub(super) fn generated_upstream(
    number: u32,
    place: (&str, &str),
    incarnation: u64,
    guard_address: SocketAddr,
) -> Announcement {
    Announcement {
        upstream: format!("{}-w{number}", place.1).as_str().into(),
        incarnation,
        sequence: 1,
        guard_address,
        region: place.0.into(),
        data_centre: place.1.into(),
        rack: format!("rack-{}", number / 3).as_str().into(),
        serving: ServingState::Serving,
        slots: 8,
        slots_in_use: 0,
        accelerators: AcceleratorSet::first(2),
        plain_tasks: 32,
        accelerators_free: AcceleratorSet::first(2),
        plain_free: 14,
        evictable: AcceleratorSet::empty(),
        guaranteed: Vec::new(),
        orphans: Vec::new(),
        version: VersionNumber::default(),
    }
}

/// Announces upstreams to one entry, each once a second, until `stop` is set.
///
/// # Errors
/// The error of the socket when it cannot be bound.
pub(super) async fn announce_upstreams(
    clock: Rc<dyn Clock>,
    entry: SocketAddr,
    upstreams: u32,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = UdpLink::bind(loopback, clock.clone()).await?;
    let mut all: Vec<Announcement> = (0..upstreams)
        .map(|i| {
            let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + i as u16));
            generated_upstream(i, ("region", "data-centre"), 1 << 40, address)
        })
        .collect();
    let spacing = ANNOUNCE_INTERVAL / upstreams.max(1);
    let mut next = clock.now();
    let mut round = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        for (i, upstream) in all.iter_mut().enumerate() {
            upstream.sequence = round * 2 + 2;
            send_announcement(&link, entry, upstream, round == 0).await;
            let due = next + Millis::from(spacing * (i as u32 + 1));
            discard_until(&*clock, &link, due).await;
        }
        next += Millis::from(ANNOUNCE_INTERVAL);
        round += 1;
    }
    Ok(())
}

async fn send_announcement(
    link: &UdpLink,
    entry: SocketAddr,
    upstream: &Announcement,
    is_full: bool,
) {
    let role = WatcherRole::Primary;
    let datagram = if is_full {
        Datagram::Announce(Announce {
            content: upstream.clone(),
            role,
            candidates: 0,
        })
    } else {
        Datagram::Pulse(Announce {
            content: upstream.heartbeat(),
            role,
            candidates: 0,
        })
    };
    if let Ok(content) = postcard::to_stdvec(&datagram) {
        link.send(entry, content).await;
    }
}

/// Receives and discards the entry's replies until `due`.
async fn discard_until(
    clock: &dyn Clock,
    link: &UdpLink,
    due: Millis,
) {
    loop {
        let remaining = due.since(clock.now());
        if remaining.is_zero() {
            return;
        }
        let receiving = link.receive();
        let sleeping = clock.sleep(remaining);
        pin_mut!(receiving, sleeping);
        if let Either::Right(_) = select(receiving, sleeping).await {
            return;
        }
    }
}
