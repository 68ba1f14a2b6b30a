//! Tests of the answers that a server gives when a limit is reached.

use {
    compio::runtime::Runtime,
    limpetquay::{
        connection::{HttpHandler, HttpRequest, HttpResponse, HttpServer},
        prelude::*,
        process::{
            clock::SystemClock,
            limits::{PortLimiter, PortLimits},
            metrics::LimitMetrics,
        },
    },
    std::{
        io::{ErrorKind, Read, Write},
        net::TcpStream,
        sync::mpsc,
        thread,
    },
};

const MAX_BODY: usize = 1000;

const LIMITS: PortLimits = PortLimits {
    body_bytes: 1500,
    bodies: 2,
    connections: 3,
    min_body_rate: 0,
};

struct Echo;

impl HttpHandler for Echo {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(async move { HttpResponse::text(200, &format!("{} bytes", req.body.len())) })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        MAX_BODY
    }
}

/// Starts a server with limits on a thread of its own, which runs until the tests end.
fn start_server() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        Runtime::new().expect("a runtime").block_on(async {
            let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
            let limiter = PortLimiter::new("test", LIMITS, clock, LimitMetrics::default());
            let any = "127.0.0.1:0".parse().expect("an address");
            let server = HttpServer::bind_limited(any, Rc::new(Echo), Rc::new(limiter)).await;
            let server = server.expect("the server is bound");
            tx.send(server.local_addr().expect("an address"))
                .expect("the test waits for the address");
            server.run(std::future::pending()).await;
        });
    });
    rx.recv().expect("the server starts")
}

/// Opens a connection and sends the head of a request, and then `sent` bytes of its body.
fn begin(
    address: SocketAddr,
    header: &str,
    sent: &[u8],
) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the server accepts");
    let head = format!("POST / HTTP/1.1\r\nhost: a.example\r\n{header}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("the head is sent");
    stream.write_all(sent).expect("the body is sent");
    stream
}

/// Reads all that the server sends until it closes the connection.
fn read_all(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    if let Err(e) = stream.read_to_end(&mut answer) {
        // A server that closes a connection with unread bytes resets it.
        assert_eq!(e.kind(), ErrorKind::ConnectionReset, "{e}");
    }
    String::from_utf8(answer).expect("the answer is text")
}

/// Guards against a body over the limit that is read although its length is announced.
#[test]
fn an_announced_length_over_the_limit_is_answered_at_once() {
    let answer = read_all(begin(start_server(), "content-length: 1001", b""));
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against a chunked body that is read on beyond the limit.
#[test]
fn a_body_that_grows_over_the_limit_is_answered_and_closed() {
    let mut chunk = b"3e9\r\n".to_vec();
    chunk.resize(chunk.len() + 1001, b'x');
    let stream = begin(start_server(), "transfer-encoding: chunked", &chunk);
    let answer = read_all(stream);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// Guards against an aborted request that is told anything else than that it has not run, and
/// against one that fits and is refused for the aborted one.
#[test]
fn the_oldest_body_is_refused_with_the_time_of_a_retry() {
    let address = start_server();
    let stalled = begin(address, "content-length: 1000", &[b'x'; 999]);
    // The age of a body counts in milliseconds.
    thread::sleep(Duration::from_millis(200));
    let header = "connection: close\r\ncontent-length: 900";
    let ordinary = read_all(begin(address, header, &[b'x'; 900]));
    assert!(ordinary.starts_with("HTTP/1.1 200 "), "{ordinary}");
    assert!(ordinary.ends_with("900 bytes"), "{ordinary}");
    let refusal = read_all(stalled);
    assert!(refusal.starts_with("HTTP/1.1 503 "), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    assert!(refusal.contains("connection: close"), "{refusal}");
}

/// Guards against an ordinary client that is refused because idle connections use up the limit.
#[test]
fn the_longest_idle_connection_is_closed_for_a_new_one() {
    let address = start_server();
    let connect = |_| TcpStream::connect(address).expect("the server accepts");
    let idle: Vec<TcpStream> = (0..LIMITS.connections).map(connect).collect();
    thread::sleep(Duration::from_millis(200));
    let header = "connection: close\r\ncontent-length: 1";
    let answer = read_all(begin(address, header, b"x"));
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let first = idle.into_iter().next().expect("a connection");
    assert_eq!(read_all(first), "", "the first one is closed");
}
