//! HTTP towards callers, operators, upstreams and the platform.

mod client;
mod handler;
mod problem;
mod server;

pub use {
    client::{HttpAnswer, HttpClient, HttpClientError},
    handler::{HttpHandler, HttpReply, HttpRequest, query_value},
    problem::Problem,
    server::HttpServer,
};
