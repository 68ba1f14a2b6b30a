//! The protocol between entries and guards: postcard frames over TCP.

mod frame;
mod guard_peer;
mod message;
mod peer_link;
mod peer_server;

pub use {
    frame::{FrameError, read_frame, write_frame},
    guard_peer::{GuardPeer, LinkError},
    message::{GuaranteedShare, GuardReply, GuardRequest, Refusal, ReserveCall, RunGrant},
    peer_link::PeerLink,
    peer_server::{PeerHandler, PeerServer},
};
