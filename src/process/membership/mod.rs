//! Which upstreams there are: they announce themselves by datagram.

mod announcement;
mod announcer;
mod listener;
mod member_table;

pub use {
    announcement::{Announcement, Datagram, ServingState},
    announcer::run_announcer,
    listener::MemberListener,
    member_table::MemberTable,
};
