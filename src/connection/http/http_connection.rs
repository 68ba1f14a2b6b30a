//! One connection of an HTTP client.

use {
    super::HttpClientError,
    crate::{connection::set_nodelay, prelude::*},
    compio::{
        net::TcpStream,
        runtime::{JoinHandle, spawn},
    },
    cyper_core::HyperStream,
    http_body_util::Full,
    hyper::{
        Method, Request, Response, Uri,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONTENT_LENGTH, HOST},
    },
    std::io,
};

/// The port of an address without one.
const DEFAULT_PORT: u16 = 80;

/// The peer of a request.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The host and the port as the URL states them, which identify the peer.
    pub(super) authority: Arc<str>,
    host: String,
    port: u16,
}

/// An error of sending a request on a connection.
pub(super) enum SendError {
    /// The connection closed before any byte of the request was written.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// The peer may have received the request.
    Lost(String),
}

/// An open connection. Dropping it closes it at once.
pub(super) struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: JoinHandle<()>,
}

impl HttpConnection {
    /// Connects to a peer.
    ///
    /// # Errors
    /// Returns [`HttpClientError::NotListening`] when the peer's host refuses the connection, and
    /// [`HttpClientError::NotConnected`] after any other failure.
    pub(super) async fn open(target: &Target) -> Result<Self, HttpClientError> {
        let connecting = TcpStream::connect((target.host.as_str(), target.port));
        let stream = connecting.await.map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused => HttpClientError::NotListening(e.to_string()),
            _ => HttpClientError::NotConnected(e.to_string()),
        })?;
        set_nodelay(&stream);
        let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
            .await
            .map_err(|e| HttpClientError::NotConnected(e.to_string()))?;
        let driver = spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection closed");
            }
        });
        Ok(Self {
            sender,
            _driver: driver,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// Returns a [`SendError`], which shows whether the peer may have received the request.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut e| match e.take_message() {
            Some(request) => SendError::Unsent(Box::new(request), e.into_error().to_string()),
            None => SendError::Lost(e.into_error().to_string()),
        })
    }

    /// Returns whether the connection is open and its last exchange is complete.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Builds a request and returns it with its peer.
///
/// # Errors
/// Returns [`HttpClientError::NotConnected`] if the URL or a header is malformed.
pub(super) fn build_request(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<(Target, Request<Full<Bytes>>), HttpClientError> {
    let malformed = |why: &str| HttpClientError::NotConnected(format!("{url}: {why}"));
    let uri = escape_url(url)
        .parse::<Uri>()
        .map_err(|e| malformed(&e.to_string()))?;
    if uri.scheme_str() != Some("http") {
        return Err(malformed("the scheme is not http"));
    }
    let authority = uri.authority().ok_or_else(|| malformed("no host"))?;
    let host = authority.host().trim_matches(['[', ']']).to_owned();
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    let mut request = Request::builder().method(&method).uri(path);
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        request = request.header(HOST, authority.as_str());
    }
    if method != Method::GET {
        // An empty body would have no length otherwise, which some servers refuse.
        request = request.header(CONTENT_LENGTH, body.len());
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body));
    let target = Target {
        authority: authority.as_str().into(),
        host,
        port: authority.port_u16().unwrap_or(DEFAULT_PORT),
    };
    Ok((target, request.map_err(|e| malformed(&e.to_string()))?))
}

/// Escapes the characters that may not occur in a URL.
fn escape_url(url: &str) -> String {
    let mut escaped = String::with_capacity(url.len());
    for byte in url.bytes() {
        match byte {
            b'"' | b'<' | b'>' | b'`' | b'^' | b'{' | b'}' | b'\\' => {
                escaped += &format!("%{byte:02X}");
            }
            b'!'..=b'~' => escaped.push(char::from(byte)),
            _ => escaped += &format!("%{byte:02X}"),
        }
    }
    escaped
}
