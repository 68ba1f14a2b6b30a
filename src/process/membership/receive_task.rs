//! Receives datagrams and dispatches them to their handlers.

use {
    super::{
        Datagram, Membership, PublicationLag, ReceivedDatagram,
        announce_handler::{answer_heard_query, handle_announce, handle_heard, handle_heartbeat},
        entry_handler::{answer_delta_request, handle_delta, handle_heartbeats},
        membership::UDP_HEADER_BYTES,
    },
    crate::{prelude::*, process::link::LinkPurpose},
};

/// Receives datagrams and counts malformed ones. Never returns.
pub(super) async fn run_datagram_receiver(membership: Rc<Membership>) {
    loop {
        let received = membership.link.receive().await;
        let bytes = received.content.len() + UDP_HEADER_BYTES;
        membership.count_datagram("received", bytes);
        match postcard::from_bytes(&received.content) {
            Ok(datagram) => dispatch(&membership, &received, datagram).await,
            Err(_) => membership.metrics.malformed_datagrams.inc(),
        }
    }
}

async fn dispatch(
    membership: &Rc<Membership>,
    received: &ReceivedDatagram,
    datagram: Datagram,
) {
    let from = received.from;
    match datagram {
        Datagram::Announce(announce) => {
            let region = announce.content.region.clone();
            let bytes = received.content.len() + UDP_HEADER_BYTES;
            let traffic = &membership.link_traffic;
            traffic.count(&region, LinkPurpose::Membership, bytes);
            handle_announce(membership, from, announce).await;
        }
        Datagram::Pulse(announce) => handle_heartbeat(membership, from, announce).await,
        Datagram::Heard { pulse, age_ms } => handle_heard(membership, &pulse, age_ms),
        Datagram::HeardAsk { upstream } => answer_heard_query(membership, from, &upstream).await,
        Datagram::Heartbeats(rows) => handle_heartbeats(membership, from, rows).await,
        Datagram::Delta(delta) => handle_delta(membership, delta).await,
        Datagram::DeltaAsk {
            asker,
            incarnation,
            generation,
            have,
        } => {
            let lag = PublicationLag {
                incarnation,
                generation,
                applied_change: have,
            };
            answer_delta_request(membership, from, &asker, lag).await;
        }
        Datagram::Ack(_) | Datagram::Candidates(_) | Datagram::Probe => {}
    }
}
