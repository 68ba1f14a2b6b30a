//! Hears datagrams and takes over what they say.

use {
    super::{
        Behind, Datagram, Membership, Received,
        hear_announce::{answer_heard_ask, hear_announce, hear_pulse, hear_through_other},
        hear_entries::{answer_delta_ask, hear_delta, hear_heartbeats},
        membership::DATAGRAM_HEADER_BYTES,
    },
    crate::{prelude::*, process::link::LinkPurpose},
};

/// Hears datagrams for ever.
pub(super) async fn run_hearing(membership: Rc<Membership>) {
    loop {
        let received = membership.link.receive().await;
        let bytes = received.content.len() + DATAGRAM_HEADER_BYTES;
        membership.count("received", bytes);
        match postcard::from_bytes(&received.content) {
            Ok(datagram) => hear(&membership, &received, datagram).await,
            Err(_) => membership.metrics.malformed_datagrams.inc(),
        }
    }
}

async fn hear(
    membership: &Rc<Membership>,
    received: &Received,
    datagram: Datagram,
) {
    let from = received.from;
    match datagram {
        Datagram::Announce(announce) => {
            let region = announce.content.region.clone();
            let bytes = received.content.len() + DATAGRAM_HEADER_BYTES;
            let account = &membership.account;
            account.count(&region, LinkPurpose::Membership, bytes);
            hear_announce(membership, from, announce).await;
        }
        Datagram::Pulse(announce) => hear_pulse(membership, from, announce).await,
        Datagram::Heard { pulse, age_ms } => hear_through_other(membership, &pulse, age_ms),
        Datagram::HeardAsk { upstream } => answer_heard_ask(membership, from, &upstream).await,
        Datagram::Heartbeats(rows) => hear_heartbeats(membership, from, rows).await,
        Datagram::Delta(delta) => hear_delta(membership, delta).await,
        Datagram::DeltaAsk {
            asker,
            incarnation,
            generation,
            have,
        } => {
            let behind = Behind {
                incarnation,
                generation,
                have,
            };
            answer_delta_ask(membership, from, &asker, behind).await;
        }
        Datagram::Ack(_) | Datagram::Candidates(_) | Datagram::Probe => {}
    }
}
