//! The requests, responses and handlers of an HTTP server, independent of their transport.

use {
    super::Problem,
    crate::prelude::*,
    hyper::{HeaderMap, Method},
    serde::Serialize,
};

/// An HTTP request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The query string, without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns a header's value if it is visible ASCII.
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

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|s| !s.is_empty()).collect()
    }

    /// Returns the first value of a query parameter, without decoding it.
    pub fn query(
        &self,
        name: &str,
    ) -> Option<&str> {
        query_value(&self.query, name)
    }
}

/// Returns the first value of the parameter `name` in a query string, without decoding it.
pub fn query_value<'a>(
    query: &'a str,
    name: &str,
) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next()
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The content type.
    pub content_type: &'static str,
    /// The headers other than the content type and length.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Creates a response with a content type.
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

    /// Creates a plain-text response.
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

    /// Creates a JSON response; a value that cannot be encoded gives a 500 response.
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

/// A handler for the requests that a server receives.
pub trait HttpHandler {
    /// Handles one request and returns the response.
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse>;

    /// Records that a connection was closed because its request was malformed or too slow.
    fn record_malformed_request(&self) {}

    /// Returns how long a connection may send no complete head of a request, the time between two
    /// requests included; `None` for the server's own limit.
    fn head_timeout(&self) -> Option<Duration> {
        None
    }

    /// Returns the limit on the request body for a path, in bytes.
    fn max_body(
        &self,
        path: &str,
    ) -> usize;
}
