//! Malformed input closes its own connection and has no other effect.

use {
    compio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Runtime,
    },
    limpetquay::{
        prelude::*,
        process::{
            clock::{SystemClock, with_timeout},
            local::{EXAMPLE_DOCUMENT, EXAMPLE_SETTINGS, LocalSystem},
            settings::LocalSettings,
        },
    },
};

/// The timeout for a peer to answer or to close the connection.
const TIMEOUT: Duration = Duration::from_secs(15);

async fn start(clock: &Rc<dyn Clock>) -> LocalSystem {
    let settings = LocalSettings::parse("local.ini", EXAMPLE_SETTINGS).expect("valid settings");
    let system = LocalSystem::start(&settings, EXAMPLE_DOCUMENT, clock.clone()).await;
    system.expect("the system starts")
}

/// Sends bytes, reads until the peer closes the connection and returns the first line, or `closed`
/// if nothing was received.
async fn exchange(
    clock: &dyn Clock,
    address: SocketAddr,
    sent: Vec<u8>,
) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the peer accepts");
    stream.write_all(sent).await.0.expect("the bytes are sent");
    let reading = stream.read_to_end(Vec::new());
    let read = with_timeout(clock, TIMEOUT, reading).await;
    let bytes = read.expect("the peer closes the connection").1;
    String::from_utf8_lossy(&bytes)
        .lines()
        .next()
        .unwrap_or("closed")
        .to_owned()
}

/// A guard closes a connection whose frames violate the protocol.
#[test]
fn bad_frames_close_their_connection() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let system = start(&clock).await;
        let guard = system.guards()[0].address();
        let other_version = exchange(&*clock, guard, vec![9, 0, 0, 0, 0]).await;
        let too_large = exchange(&*clock, guard, vec![1, 255, 255, 255, 255]).await;
        let not_a_message = exchange(&*clock, guard, vec![1, 3, 0, 0, 0, 250, 250, 250]).await;
        insta::assert_debug_snapshot!([other_version, too_large, not_a_message], @r#"
        [
            "closed",
            "closed",
            "closed",
        ]
        "#);
        assert!(system.entries().iter().all(|e| e.entry().is_ready()));
        system.stop().await;
    });
}

/// An entry answers a malformed or oversized request with an error.
#[test]
fn bad_requests_are_answered_with_an_error() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let system = start(&clock).await;
        let entry = system.entries()[0].http_address();
        let garbage = exchange(&*clock, entry, b"\x01\x02\x03\r\n\r\n".to_vec()).await;
        let mut head = b"GET /healthz HTTP/1.1\r\nhost: x\r\n".to_vec();
        head.extend((0..100).flat_map(|i| format!("x-{i}: y\r\n").into_bytes()));
        head.extend(b"\r\n");
        let many_headers = exchange(&*clock, entry, head).await;
        let mut head = b"GET /healthz HTTP/1.1\r\nhost: x\r\nx-long: ".to_vec();
        head.extend(vec![b'a'; 64 << 10]);
        head.extend(b"\r\n\r\n");
        let long_header = exchange(&*clock, entry, head).await;
        insta::assert_debug_snapshot!([garbage, many_headers, long_header]);
        let metrics = system.entries()[0].entry().metrics.clone();
        let counted = async {
            while metrics.malformed_requests.get() < 3 {
                clock.sleep(Duration::from_millis(20)).await;
            }
        };
        let all = with_timeout(&*clock, TIMEOUT, counted).await;
        assert!(all.is_some(), "each closed connection is counted");
        system.stop().await;
    });
}

/// A request whose body never arrives completely is answered with 408 instead of occupying its
/// connection forever.
#[test]
fn a_body_that_never_arrives_is_refused() {
    Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let system = start(&clock).await;
        let entry = system.entries()[0].http_address();
        let head = "POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 500\r\n\r\nabc";
        let answer = exchange(&*clock, entry, head.into()).await;
        assert_eq!(answer, "HTTP/1.1 408 Request Timeout");
        system.stop().await;
    });
}
