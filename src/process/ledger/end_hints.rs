//! Hints by which entries tell the leader how far the ledger reaches. An entry that has stored a
//! record knows its offset at once, while the leader's read may hear nothing of it for a second and
//! more.

use {
    super::{Ledger, MemberRole},
    crate::{prelude::*, process::membership::DatagramLink},
    serde::{Deserialize, Serialize},
};

/// The shortest interval between two hints, so that a burst of submissions costs few datagrams. It
/// is short beside the time that urgent work may wait.
const MIN_HINT_INTERVAL: Duration = Duration::from_millis(10);

/// The hint that the ledger holds records up to an offset. It may be lost, late, repeated or wrong:
/// it only makes its receiver read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndHint {
    /// The offset after the last record that is known to be stored.
    pub end: u64,
}

/// Sends the leader a hint whenever this entry has stored records. Never returns.
pub async fn send_end_hints(
    ledger: Rc<Ledger>,
    clock: Rc<dyn Clock>,
    link: Rc<dyn DatagramLink>,
    own_name: Arc<str>,
) {
    let mut sent = 0;
    loop {
        sent = ledger.wait_for_stored_end(sent).await;
        if let Some(address) = leader_address(&ledger, &own_name) {
            match postcard::to_stdvec(&EndHint { end: sent }) {
                Ok(content) => link.send(address, content).await,
                Err(e) => tracing::error!(error = %e, "a hint cannot be encoded"),
            }
        }
        clock.sleep(MIN_HINT_INTERVAL).await;
    }
}

/// Notes the ends of the ledger that other entries know of. Never returns.
pub async fn receive_end_hints(
    ledger: Rc<Ledger>,
    link: Rc<dyn DatagramLink>,
) {
    loop {
        let received = link.receive().await;
        match postcard::from_bytes::<EndHint>(&received.content) {
            Ok(hint) => ledger.note_end(hint.end),
            Err(e) => tracing::debug!(from = %received.from, error = %e, "malformed hint ignored"),
        }
    }
}

/// Returns the address of the leader, unless there is none or this entry leads.
fn leader_address(
    ledger: &Ledger,
    own_name: &str,
) -> Option<SocketAddr> {
    ledger.view(|fold| {
        let leader = fold.leader.as_ref().filter(|l| !l.resigned)?;
        let member = fold.members.get(leader.entry.as_str())?;
        let is_other_entry = member.role == MemberRole::Entry && *member.name != *own_name;
        is_other_entry.then_some(member.address)
    })
}
