//! State that lives as long as one connection: the protocol between entries and guards, and HTTP.

mod http;
mod peer;
mod socket;

pub(crate) use peer::{false_if_missing, none_if_missing};
pub use {
    http::{
        HttpClient, HttpClientError, HttpClientResponse, HttpHandler, HttpRequest, HttpResponse,
        HttpServer, IdleConnections, MAX_IDLE_PER_PEER, MAX_IDLE_TIME, PartialResponse, Problem,
        Transfer, query_value,
    },
    peer::{
        CommitCall, EndKind, EvictionMode, FrameError, GangEnd, GangId, GangPhase, GangReply,
        GangRequest, GangWork, GuaranteedShare, GuardOrders, GuardPeer, GuardReply, GuardReport,
        GuardRequest, KnownGang, LinkError, MAX_FRAME_BYTES, PeerHandler, PeerLink, PeerServer,
        PieceAddress, PieceEnd, PieceHeartbeat, PieceState, Refusal, RefusedStart, RequestCall,
        ReserveCall, RunEnd, RunPhase, RunStart, RunStatus, StartCall, StartRefusal, StopCause,
        WorkerIncarnation, WorkerReport, WorkerView, read_frame, read_frame_in_parts,
        read_limited_frame, write_frame,
    },
    socket::set_nodelay,
};
