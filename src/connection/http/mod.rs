//! The HTTP server for callers and operators, and the HTTP client for upstreams and the platform.

mod client;
mod handler;
mod problem;
mod server;

pub use {
    client::{HttpClient, HttpClientError, HttpClientResponse},
    handler::{HttpHandler, HttpRequest, HttpResponse, query_value},
    problem::Problem,
    server::HttpServer,
};
