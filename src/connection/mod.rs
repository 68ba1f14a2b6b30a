//! What lives as long as one connection: peers of the project's own protocol, and HTTP.

mod http;
mod peer;

pub use {
    http::{
        HttpAnswer, HttpClient, HttpClientError, HttpHandler, HttpReply, HttpRequest, HttpServer,
        Problem, query_value,
    },
    peer::{
        FrameError, GuaranteedShare, GuardPeer, GuardReply, GuardRequest, LinkError, PeerHandler,
        PeerLink, PeerServer, Refusal, ReserveCall, RunGrant, read_frame, write_frame,
    },
};
