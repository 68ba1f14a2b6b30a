//! The protocol between entries and guards: postcard frames over TCP.

mod frame;
mod gang_message;
mod guard_peer;
mod message;
mod peer_link;
mod peer_server;
mod run_message;

pub use {
    frame::{FrameError, read_frame, write_frame},
    gang_message::{
        Beat, CommitCall, Eviction, GangEnd, GangId, GangPhase, GangReply, GangRequest, KnownGang,
        PieceAddress, PieceEnd, PieceState, ReserveCall, StartCall, StopCause, Work,
    },
    guard_peer::{GuardPeer, LinkError},
    message::{GuaranteedShare, GuardReply, GuardRequest, Refusal, RunGrant},
    peer_link::PeerLink,
    peer_server::{PeerHandler, PeerServer},
    run_message::{
        EndKind, GuardOrders, GuardReport, RefusedStart, RunEnd, RunPhase, RunStart, RunStatus,
        StartRefusal, WorkerLife, WorkerReport, WorkerView,
    },
};
