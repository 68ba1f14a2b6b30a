//! The protocol between entries and guards, and among guards: postcard messages in frames over TCP.

mod frame;
mod gang_message;
mod guard_peer;
mod last_field;
mod message;
mod peer_link;
mod peer_server;
mod run_message;

pub(crate) use last_field::{false_if_missing, none_if_missing};
pub use {
    frame::{
        FrameError, MAX_FRAME_BYTES, read_frame, read_frame_in_parts, read_limited_frame,
        write_frame,
    },
    gang_message::{
        CommitCall, EvictionMode, GangEnd, GangId, GangPhase, GangReply, GangRequest, GangWork,
        KnownGang, PieceAddress, PieceEnd, PieceHeartbeat, PieceState, ReserveCall, StartCall,
        StopCause,
    },
    guard_peer::{GuardPeer, LinkError},
    message::{GuaranteedShare, GuardReply, GuardRequest, Refusal, RequestCall},
    peer_link::PeerLink,
    peer_server::{PeerHandler, PeerServer},
    run_message::{
        EndKind, GuardOrders, GuardReport, RefusedStart, RunEnd, RunPhase, RunStart, RunStatus,
        StartRefusal, WorkerIncarnation, WorkerReport, WorkerView,
    },
};
