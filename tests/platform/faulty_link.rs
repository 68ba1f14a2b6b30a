//! A loopback link to a server, which can be slow, and whose connections can break or go silent without
//! a reset.

use {
    compio::{
        BufResult,
        buf::IoBuf,
        io::{AsyncRead, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::{JoinHandle, spawn},
    },
    futures_util::future::select,
    limpetquay::prelude::*,
    std::{cell::Cell, time::Instant},
};

/// The largest chunk that is forwarded at once, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// The interval and the number of checks whether connections have been closed.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const CLOSING_CHECKS: usize = 250;

/// The state of a link, shared by its connections, which are numbered in the order of their arrival.
#[derive(Default)]
struct LinkState {
    accepted: Cell<usize>,
    open: Cell<usize>,
    /// Connections with lower numbers forward nothing any more and stay open.
    silent_below: Cell<usize>,
    /// The bytes that the server's answers took on the link.
    answer_bytes: Cell<usize>,
    /// The speed of the server's answers, which all connections share, in bytes per second.
    bytes_per_s: Cell<Option<usize>>,
    /// Until when the link is occupied by the chunks that were admitted.
    occupied_until: Cell<Option<Instant>>,
    /// The bytes of answers after which a connection breaks.
    cut_after: Cell<Option<usize>>,
}

impl LinkState {
    /// Waits until a chunk of an answer has passed the link.
    async fn pass(
        &self,
        bytes: usize,
    ) {
        self.answer_bytes.set(self.answer_bytes.get() + bytes);
        let Some(speed) = self.bytes_per_s.get() else {
            return;
        };
        let now = Instant::now();
        let from = self.occupied_until.get().map_or(now, |at| at.max(now));
        let until = from + Duration::from_secs_f64(bytes as f64 / speed as f64);
        self.occupied_until.set(Some(until));
        compio::time::sleep_until(until).await;
    }
}

/// Counts a connection until it is dropped.
struct OpenConnection(Rc<LinkState>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A link that forwards connections to one server.
pub struct FaultyLink {
    state: Rc<LinkState>,
    address: SocketAddr,
    _task: JoinHandle<()>,
}

impl FaultyLink {
    /// Starts a link to `server`.
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let state = Rc::<LinkState>::default();
        let task = spawn(accept_connections(listener, server, state.clone()));
        Self {
            state,
            address,
            _task: task,
        }
    }

    /// Returns the address at which the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the connections that are open now silent for ever. New ones work.
    pub fn silence(&self) {
        self.state.silent_below.set(self.state.accepted.get());
    }

    /// Makes all connections silent for ever, also new ones.
    pub fn silence_all(&self) {
        self.state.silent_below.set(usize::MAX);
    }

    /// Limits the speed of the server's answers.
    pub fn set_speed(
        &self,
        bytes_per_s: usize,
    ) {
        self.state.bytes_per_s.set(Some(bytes_per_s));
    }

    /// Makes each connection break after this many bytes of answers.
    pub fn cut_connections_after(
        &self,
        bytes: usize,
    ) {
        self.state.cut_after.set(Some(bytes));
    }

    /// Returns how many bytes of answers the link has carried.
    pub fn answer_bytes(&self) -> usize {
        self.state.answer_bytes.get()
    }

    /// Returns how many connections have been accepted.
    pub fn accepted(&self) -> usize {
        self.state.accepted.get()
    }

    /// Waits until the client has closed all but `expected` connections, for some seconds at most, and
    /// returns how many are open then.
    pub async fn open_after_closing(
        &self,
        expected: usize,
    ) -> usize {
        for _ in 0..CLOSING_CHECKS {
            if self.state.open.get() <= expected {
                break;
            }
            compio::time::sleep(CLOSING_CHECK_INTERVAL).await;
        }
        self.state.open.get()
    }
}

async fn accept_connections(
    listener: TcpListener,
    server: SocketAddr,
    state: Rc<LinkState>,
) {
    let mut connections: Vec<JoinHandle<()>> = Vec::new();
    while let Ok((client, _)) = listener.accept().await {
        let number = state.accepted.get();
        state.accepted.set(number + 1);
        state.open.set(state.open.get() + 1);
        let open = OpenConnection(state.clone());
        connections.push(spawn(async move {
            let server = TcpStream::connect(server).await.expect("the server");
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let to_server = forward(client_read, server_write, &open.0, number, false);
            let to_client = async {
                forward(server_read, client_write, &open.0, number, true).await;
                if number < open.0.silent_below.get() {
                    // A silent connection does not show that the server has closed it.
                    std::future::pending::<()>().await;
                }
            };
            select(Box::pin(to_server), Box::pin(to_client)).await;
        }));
    }
}

/// Forwards until an end closes, and discards what it reads once the connection is silent.
async fn forward<R, W>(
    mut reader: R,
    mut writer: W,
    state: &LinkState,
    number: usize,
    is_answer: bool,
) where
    R: AsyncRead,
    W: AsyncWriteExt,
{
    let mut forwarded = 0;
    loop {
        let BufResult(read, buf) = reader.read(Vec::with_capacity(MAX_CHUNK_BYTES)).await;
        let Ok(read @ 1..) = read else {
            return;
        };
        if number < state.silent_below.get() {
            continue;
        }
        if is_answer {
            state.pass(read).await;
        }
        if writer.write_all(buf.slice(..read)).await.0.is_err() {
            return;
        }
        forwarded += read;
        if is_answer && state.cut_after.get().is_some_and(|cut| forwarded >= cut) {
            return;
        }
    }
}
