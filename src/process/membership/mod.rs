//! Group membership: entries and guards discover each other and detect failures with datagrams.
//!
//! A guard announces its upstream to a primary and a standby watcher. The primary watcher publishes
//! the upstream to the other entries as deltas. Entries exchange heartbeats.

mod announce_handler;
mod announcement;
mod announcer;
mod contact_task;
mod datagram;
mod datagram_link;
mod entry_handler;
mod entry_row;
mod entry_table;
mod incarnation;
mod live_cache;
mod member;
mod member_table;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod membership;
mod peer_task;
mod publication;
mod publish_task;
mod publisher;
mod receive_task;
mod rendezvous;
mod watch_task;
mod watcher;

pub(crate) use publish_task::load_interval_of;

pub use {
    announcement::{Announcement, ServingState, UpstreamHeartbeat},
    announcer::{Announcer, AnnouncerContext},
    datagram::{Announce, AnnounceAck, Datagram, Delta, MemberRow, WatcherRole},
    datagram_link::{DatagramLink, ReceivedDatagram, UdpLink},
    entry_row::{EntryRow, PublicationVersion},
    entry_table::{EntryTable, HeartbeatOutcome},
    incarnation::new_incarnation,
    member_table::MemberTable,
    membership::{Membership, MembershipContext},
    publisher::PublicationLag,
};

pub(crate) use rendezvous::rendezvous_rank;
