//! Tests of HTTP calls whose answers arrive after the caller has given up.

use {
    compio::runtime::Runtime,
    limpetquay::{connection::HttpClient, prelude::*, process::clock::SystemClock},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{TcpListener, TcpStream},
        thread,
    },
};

const SHORT_TIMEOUT: Duration = Duration::from_millis(60);

const LONG_TIMEOUT: Duration = Duration::from_secs(5);

const ANSWER_DELAY: Duration = Duration::from_millis(120);

/// Answers each request on a connection with its own body, the ones that begin with `slow` late.
/// The first half of a `half` body is sent at once.
fn serve_connection(stream: TcpStream) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut len = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim().to_lowercase();
            if let Some(value) = line.strip_prefix("content-length:") {
                len = value.trim().parse().unwrap_or(0);
            }
            if line.is_empty() {
                break;
            }
        }
        let mut body = vec![0; len];
        reader.read_exact(&mut body)?;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n");
        let (first, rest) = match &body {
            b if b.starts_with(b"half") => ([head.as_bytes(), &b[..2]].concat(), b[2..].to_vec()),
            b => (Vec::new(), [head.as_bytes(), b].concat()),
        };
        writer.write_all(&first)?;
        if body.starts_with(b"slow") || body.starts_with(b"half") {
            thread::sleep(ANSWER_DELAY);
        }
        writer.write_all(&rest)?;
    }
}

#[test]
fn a_late_answer_is_not_taken_for_that_of_the_next_call() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || drop(serve_connection(stream)));
        }
    });
    let mismatches = Runtime::new().expect("a runtime").block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let client = HttpClient::new(clock.clone());
        let url = format!("http://{address}/");
        let mut mismatches = Vec::new();
        for round in 0..40 {
            let kind = ["slow", "half"][round % 2];
            let abandoned = format!("{kind}-{round}");
            let given_up = client
                .post(&url, &[], abandoned.into(), SHORT_TIMEOUT)
                .await;
            assert!(given_up.is_err(), "the answer is late");
            clock.sleep(Duration::from_millis(round as u64 * 4)).await;
            let sent = format!("next-{round}");
            let answer = client
                .post(&url, &[], sent.clone().into(), LONG_TIMEOUT)
                .await
                .expect("an answer");
            if answer.body != sent.as_bytes() {
                mismatches.push((sent, answer.body));
            }
        }
        mismatches
    });
    assert!(mismatches.is_empty(), "{mismatches:?}");
}
