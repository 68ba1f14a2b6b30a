//! What lives as long as one connection: peers of the project's own protocol, and HTTP.

mod http;
mod peer;

pub use {
    http::{
        HttpAnswer, HttpClient, HttpClientError, HttpHandler, HttpReply, HttpRequest, HttpServer,
        Problem, query_value,
    },
    peer::{
        Beat, CommitCall, Eviction, FrameError, GangEnd, GangId, GangPhase, GangReply, GangRequest,
        GuaranteedShare, GuardPeer, GuardReply, GuardRequest, KnownGang, LinkError, PeerHandler,
        PeerLink, PeerServer, PieceAddress, PieceEnd, PieceState, Refusal, ReserveCall, RunGrant,
        StartCall, StopCause, Work, read_frame, write_frame,
    },
};
