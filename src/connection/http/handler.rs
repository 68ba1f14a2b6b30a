//! What answers HTTP requests, apart from how they are read and written.

use {
    super::Problem,
    crate::prelude::*,
    hyper::{HeaderMap, Method},
    serde::Serialize,
};

/// A whole HTTP request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query, without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a header's value when it is text.
    pub fn header(
        &self,
        name: &str,
    ) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the bearer key of the `Authorization` header.
    pub fn bearer_key(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }

    /// Returns the path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Returns a value of the query.
    pub fn query(
        &self,
        name: &str,
    ) -> Option<&str> {
        query_value(&self.query, name)
    }
}

/// Returns the value of `name` in a query string.
pub fn query_value<'a>(
    query: &'a str,
    name: &str,
) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next()
}

/// A whole HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status.
    pub status: u16,
    /// The content type.
    pub content_type: &'static str,
    /// Headers besides the content type and length.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl HttpReply {
    /// Creates an answer of a content type.
    pub fn new(
        status: u16,
        content_type: &'static str,
        body: Bytes,
    ) -> Self {
        Self {
            status,
            content_type,
            headers: Vec::new(),
            body,
        }
    }

    /// Creates a text answer.
    pub fn text(
        status: u16,
        text: &str,
    ) -> Self {
        Self::new(
            status,
            "text/plain; charset=utf-8",
            Bytes::copy_from_slice(text.as_bytes()),
        )
    }

    /// Creates a JSON answer.
    pub fn json<T>(
        status: u16,
        value: &T,
    ) -> Self
    where
        T: Serialize,
    {
        match serde_json::to_vec(value) {
            Ok(body) => Self::new(status, "application/json", body.into()),
            Err(e) => Problem::internal(&e.to_string()).into(),
        }
    }

    /// Adds a header.
    pub fn with_header(
        mut self,
        name: &'static str,
        value: impl ToString,
    ) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// What answers the requests of a server.
pub trait HttpHandler {
    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpReply>;

    /// Notes a connection that was closed because its request was malformed or too slow.
    fn note_malformed(&self) {}

    /// Returns the largest body that the server reads for a path, in bytes.
    fn max_body(
        &self,
        path: &str,
    ) -> usize;
}
