//! What lives as long as one connection: peers of the project's own protocol, and HTTP.

mod http;
mod peer;
mod socket;

pub use {
    http::{
        HttpAnswer, HttpClient, HttpClientError, HttpHandler, HttpReply, HttpRequest, HttpServer,
        Problem, query_value,
    },
    peer::{
        Beat, CommitCall, EndKind, Eviction, FrameError, GangEnd, GangId, GangPhase, GangReply,
        GangRequest, GuaranteedShare, GuardOrders, GuardPeer, GuardReply, GuardReport,
        GuardRequest, KnownGang, LinkError, PeerHandler, PeerLink, PeerServer, PieceAddress,
        PieceEnd, PieceState, Refusal, RefusedStart, ReserveCall, RunEnd, RunGrant, RunPhase,
        RunStart, RunStatus, StartCall, StartRefusal, StopCause, Work, WorkerLife, WorkerReport,
        WorkerView, read_frame, write_frame,
    },
    socket::send_without_delay,
};
