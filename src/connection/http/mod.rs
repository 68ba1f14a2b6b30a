//! The HTTP server for callers and operators, and the HTTP client for upstreams and the platform.

mod client;
mod handler;
mod http_connection;
mod idle_connections;
mod problem;
mod server;
mod transfer;

pub use {
    client::{HttpClient, HttpClientError, HttpClientResponse, PartialResponse},
    handler::{HttpHandler, HttpRequest, HttpResponse, query_value},
    idle_connections::{IdleConnections, MAX_IDLE_PER_PEER, MAX_IDLE_TIME},
    problem::Problem,
    server::HttpServer,
    transfer::Transfer,
};
