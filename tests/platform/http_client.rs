//! Calls on reused connections to a server that closes or resets them.

use {
    compio::runtime::Runtime,
    limpetquay::{
        connection::{HttpClient, HttpClientError},
        prelude::*,
        process::clock::SystemClock,
    },
    std::{
        collections::BTreeMap,
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        thread,
    },
};

const BODY: &[u8] = b"{\"Task\":\"1.0.0.0\",\"RunId\":1}";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
const TIMEOUT: Duration = Duration::from_secs(3);

/// What a server does with the second call on a connection.
#[derive(Clone, Copy, Debug)]
enum Second {
    /// Reads it completely and closes the connection.
    ReadAndClose,
    /// Reads it up to the last byte, so that the connection is reset when it is closed.
    ReadAndReset,
    /// Closes the connection some microseconds after the first answer and reads nothing.
    CloseAfter(u64),
}

/// Reads up to `len` bytes of a call whose body is [`BODY`], and returns whether the body's start
/// has arrived.
fn read_call(
    stream: &mut TcpStream,
    unread: usize,
) -> bool {
    let mut call: Vec<u8> = Vec::new();
    let mut byte = [0];
    loop {
        let body_at = call.windows(4).position(|w| w == b"\r\n\r\n");
        if body_at.is_some_and(|at| call.len() >= at + 4 + BODY.len() - unread) {
            return true;
        }
        match stream.read(&mut byte) {
            Ok(1) => call.push(byte[0]),
            _ => return false,
        }
    }
}

/// Answers one call, treats the next one on the connection as `second`, and counts the calls after the first
/// whose body has arrived. It refuses connections afterwards, or reads calls on `later` more ones and
/// closes these without an answer.
fn serve(
    listener: TcpListener,
    second: Second,
    later: usize,
) -> usize {
    let (mut stream, _) = listener.accept().expect("a connection");
    let listener = (later > 0).then_some(listener);
    assert!(read_call(&mut stream, 0));
    stream.write_all(ANSWER).expect("the answer is sent");
    let mut seen = match second {
        Second::ReadAndClose => usize::from(read_call(&mut stream, 0)),
        Second::ReadAndReset => usize::from(read_call(&mut stream, 1)),
        Second::CloseAfter(micros) => {
            thread::sleep(Duration::from_micros(micros));
            0
        }
    };
    drop(stream);
    if let Some(listener) = listener {
        listener.set_nonblocking(true).expect("a listener");
        for _ in 0..later * 20 {
            thread::sleep(Duration::from_millis(5));
            if let Ok((mut stream, _)) = listener.accept() {
                stream.set_nonblocking(false).expect("a connection");
                seen += usize::from(read_call(&mut stream, 0));
            }
        }
    }
    seen
}

/// Makes two calls and returns the result of the second one and how often the server has seen that.
fn second_call(
    second: Second,
    later: usize,
    pause: Duration,
) -> (Result<u16, HttpClientError>, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || serve(listener, second, later));
    let runtime = Runtime::new().expect("a runtime");
    let result = runtime.block_on(async {
        let clock = Rc::new(SystemClock::default());
        let client = HttpClient::new(clock.clone());
        let url = format!("http://{address}/run-start");
        let first = client.post(&url, &[], BODY.into(), TIMEOUT).await;
        assert_eq!(first.map(|r| r.status), Ok(200));
        clock.sleep(pause).await;
        client.post(&url, &[], BODY.into(), TIMEOUT).await
    });
    let seen = server.join().expect("the server ends");
    (result.map(|r| r.status), seen)
}

fn is_certainly_not_sent(result: &Result<u16, HttpClientError>) -> bool {
    matches!(
        result,
        Err(HttpClientError::NotConnected(_) | HttpClientError::NotListening(_))
    )
}

/// Guards against two runs of one subtask: a call that a server has read on a reused connection must not count
/// as certainly not done, nor be repeated unseen.
#[test]
fn a_call_that_was_read_on_a_reused_connection_counts_as_unanswered() {
    for second in [Second::ReadAndClose, Second::ReadAndReset] {
        for later in [0, 2] {
            let (result, seen) = second_call(second, later, Duration::ZERO);
            let is_lost = matches!(result, Err(HttpClientError::AnswerLost(_)));
            assert!(
                is_lost && seen == 1,
                "{second:?} {later}: {result:?}, seen {seen}"
            );
        }
    }
}

/// Guards against two runs of one subtask: a connection that closes around a call may make the client repeat it
/// only if the server has not read it.
#[test]
fn a_call_on_a_closing_connection_is_seen_once_at_most() {
    let mut classes = BTreeMap::new();
    for i in 0..300 {
        let later = usize::from(i % 10 == 0);
        let pause = Duration::from_millis(if i % 50 == 1 { 50 } else { 0 });
        let (result, seen) = second_call(Second::CloseAfter(i), later, pause);
        let is_unsent = is_certainly_not_sent(&result);
        assert!(
            seen <= 1 && !(is_unsent && seen > 0),
            "{i} us: {result:?}, seen {seen}"
        );
        *classes.entry((is_unsent, later, seen)).or_insert(0) += 1;
    }
    assert!(
        classes.keys().any(|(is_unsent, ..)| *is_unsent),
        "{classes:?}"
    );
}
