//! Clients that are not under the system's control.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

/// The number of clients.
const CLIENTS: usize = 500;

/// One in this number of clients sends its body to the end; the others stop just short of it.
const COMPLETE_ONE_IN: usize = 10;

/// How long a client waits for room in its socket's buffer before it stops.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of the next client of any crowd, above those of ordinary requests.
static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0x1000);

/// The pause after each turn, in which the server reads what was sent.
const TURN_PAUSE: Duration = Duration::from_millis(20);

/// The ID in the head of a script, in whose place each client sends one of its own.
const JOB_ID: &[u8] = b"00000000000000aa";

/// The requests that a client sends at once.
const REQUESTS_PER_PIECE: usize = 200;

/// What each client sends.
pub struct Script {
    /// What all clients send, in pieces that are sent in turn.
    pieces: Vec<Vec<u8>>,
    /// The end of the body, which only some clients send.
    end: Vec<u8>,
}

impl Script {
    /// Returns a script without a request.
    pub fn silent() -> Self {
        Self {
            pieces: Vec::new(),
            end: Vec::new(),
        }
    }

    /// Returns a script of whole submissions with `steps` steps, of which one has a subtask.
    pub fn job_of_steps(steps: usize) -> Self {
        let empty = vec!["{}"; steps - 1].join(",");
        Self::job(&format!(r#"{{"Count":1}},{empty}"#))
    }

    /// Returns a script of whole submissions with one step of `subtasks` subtasks.
    pub fn job_of_subtasks(subtasks: usize) -> Self {
        Self::job(&format!(r#"{{"Count":{subtasks},"Cpu":1}}"#))
    }

    fn job(steps: &str) -> Self {
        let body = format!(r#"{{"Spec":"a","Steps":[{steps}]}}"#);
        let head = head(&format!("content-length: {}", body.len()));
        Self {
            pieces: vec![[head, body.into_bytes()].concat()],
            end: Vec::new(),
        }
    }

    /// Returns a script of many requests in a row, whose answers no client reads.
    pub fn unread_answers(requests: usize) -> Self {
        let request = b"GET /q/ HTTP/1.1\r\nhost: a.example\r\ncredential: key\r\n\r\n";
        Self {
            pieces: vec![request.repeat(REQUESTS_PER_PIECE); requests / REQUESTS_PER_PIECE],
            end: Vec::new(),
        }
    }

    /// Returns a script of heads that lack their end.
    pub fn unfinished_heads(bytes: usize) -> Self {
        let head = format!(
            "GET /q/ HTTP/1.1\r\nhost: a.example\r\nx: {}",
            "x".repeat(bytes)
        );
        Self {
            pieces: vec![head.into_bytes()],
            end: Vec::new(),
        }
    }

    /// Returns a script of a body with an announced length, of which `sent` bytes are sent.
    pub fn with_length(
        announced: usize,
        sent: usize,
        piece: usize,
    ) -> Self {
        let body = vec![b'x'; sent];
        let pieces = body.chunks(piece).map(<[u8]>::to_vec);
        let header = format!("content-length: {announced}");
        Self {
            pieces: std::iter::once(head(&header)).chain(pieces).collect(),
            end: vec![b'x'],
        }
    }

    /// Returns a script of a body in chunks, one in each piece.
    pub fn chunked(
        chunk: usize,
        count: usize,
    ) -> Self {
        Self::in_pieces(vec![wire_chunk(chunk); count])
    }

    /// Returns a script of a body in chunks of one byte: `alone` of them in a piece each, which the
    /// server reads one by one, then the others many at a time.
    pub fn small_chunks(
        alone: usize,
        count: usize,
    ) -> Self {
        const CHUNKS_PER_PIECE: usize = 500;
        let mut pieces = vec![wire_chunk(1); alone];
        let many = wire_chunk(1).repeat(CHUNKS_PER_PIECE);
        pieces.resize(alone + count / CHUNKS_PER_PIECE, many);
        Self::in_pieces(pieces)
    }

    fn in_pieces(pieces: Vec<Vec<u8>>) -> Self {
        let head = head("transfer-encoding: chunked");
        Self {
            pieces: std::iter::once(head).chain(pieces).collect(),
            end: b"0\r\n\r\n".to_vec(),
        }
    }
}

fn wire_chunk(len: usize) -> Vec<u8> {
    let mut wire = format!("{len:x}\r\n").into_bytes();
    wire.resize(wire.len() + len, b'x');
    wire.extend_from_slice(b"\r\n");
    wire
}

fn head(header: &str) -> Vec<u8> {
    format!(
        "POST /q/00000000000000aa HTTP/1.1\r\nhost: a.example\r\ncredential: key\r\n{header}\r\n\r\n"
    )
    .into_bytes()
}

/// One client. It keeps its connection open after a failed write.
struct Client {
    stream: TcpStream,
    is_cut_off: bool,
}

impl Client {
    fn send(
        &mut self,
        bytes: &[u8],
    ) {
        if !self.is_cut_off {
            self.is_cut_off = self.stream.write_all(bytes).is_err();
        }
    }

    /// Sends a piece with the job ID replaced by the client's number.
    fn send_numbered(
        &mut self,
        number: usize,
        piece: &[u8],
    ) {
        let Some(at) = piece.windows(JOB_ID.len()).position(|w| w == JOB_ID) else {
            return self.send(piece);
        };
        let id = format!("{number:016x}");
        self.send(&[&piece[..at], id.as_bytes(), &piece[at + JOB_ID.len()..]].concat());
    }
}

/// The clients, all connected at the same time.
pub struct Crowd {
    clients: Vec<Client>,
    /// The number of the first client; each one has its own.
    first_number: usize,
}

impl Crowd {
    /// Connects all clients.
    ///
    /// # Panics
    /// Panics if a connection cannot be opened; the server may close it afterwards.
    pub fn connect(address: SocketAddr) -> Self {
        Self::connect_some(address, CLIENTS)
    }

    /// Connects a number of clients.
    ///
    /// # Panics
    /// Panics if a connection cannot be opened; the server may close it afterwards.
    pub fn connect_some(
        address: SocketAddr,
        count: usize,
    ) -> Self {
        let connect = |_| -> io::Result<Client> {
            let stream = TcpStream::connect(address)?;
            stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
            Ok(Client {
                stream,
                is_cut_off: false,
            })
        };
        let clients: io::Result<_> = (0..count).map(connect).collect();
        Self {
            clients: clients.expect("the clients connect"),
            first_number: NEXT_NUMBER.fetch_add(count, Ordering::Relaxed),
        }
    }

    /// Sends the script on all connections, one piece on each in turn. Calls `observe` after each
    /// turn.
    pub fn play<F>(
        &mut self,
        script: &Script,
        mut observe: F,
    ) where
        F: FnMut(),
    {
        for piece in &script.pieces {
            for (number, client) in self.clients.iter_mut().enumerate() {
                client.send_numbered(self.first_number + number, piece);
            }
            observe();
            thread::sleep(TURN_PAUSE);
        }
        for client in self.clients.iter_mut().step_by(COMPLETE_ONE_IN) {
            client.send(&script.end);
        }
        observe();
    }
}
