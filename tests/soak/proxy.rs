//! A loopback proxy that spoils connections.

use {
    compio::{
        BufResult,
        buf::IoBuf,
        io::{AsyncRead, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        runtime::{JoinHandle, spawn},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
};

/// How often a held connection looks whether it may go on.
const HOLD_POLL: Duration = Duration::from_millis(20);

/// The largest piece that is passed on at once, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// What a proxy does with bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Link {
    /// They pass.
    #[default]
    Open,
    /// Each piece is late by this many milliseconds.
    Slow(u64),
    /// Nothing passes towards the server until the link is open again.
    CutUp,
    /// Nothing passes towards the client until the link is open again.
    CutDown,
    /// Nothing passes either way until the link is open again.
    Cut,
}

/// The present state, shared by all connections.
#[derive(Default)]
struct State {
    link: Cell<Link>,
    /// Connections of lower generations are silent for ever.
    silenced: Cell<u64>,
    /// Connections of lower generations are closed.
    closed: Cell<u64>,
    generation: Cell<u64>,
}

/// A proxy in front of one address.
pub struct Proxy {
    state: Rc<State>,
    address: SocketAddr,
    _task: JoinHandle<()>,
}

impl Proxy {
    /// Listens at `address` and passes connections on to `target`.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind(address).await.expect("a free address");
        let address = listener.local_addr().expect("an address");
        let state = Rc::<State>::default();
        let task = spawn(accept(listener, target, state.clone()));
        Self {
            state,
            address,
            _task: task,
        }
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the link.
    pub fn set(
        &self,
        link: Link,
    ) {
        self.state.link.set(link);
    }

    /// Silences the present connections for ever; new ones work.
    pub fn silence(&self) {
        self.state.generation.set(self.state.generation.get() + 1);
        self.state.silenced.set(self.state.generation.get());
    }

    /// Closes the present connections.
    pub fn reset(&self) {
        self.state.generation.set(self.state.generation.get() + 1);
        self.state.closed.set(self.state.generation.get());
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: Rc<State>,
) {
    let mut pairs: Vec<JoinHandle<()>> = Vec::new();
    while let Ok((client, _)) = listener.accept().await {
        let state = state.clone();
        pairs.retain(|p| !p.is_finished());
        pairs.push(spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let generation = state.generation.get();
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let up = pass(client_read, server_write, &state, generation, true);
            let down = pass(server_read, client_write, &state, generation, false);
            futures_util::future::select(Box::pin(up), Box::pin(down)).await;
        }));
    }
}

async fn pass<R, W>(
    mut reader: R,
    mut writer: W,
    state: &State,
    generation: u64,
    is_up: bool,
) where
    R: AsyncRead,
    W: AsyncWriteExt,
{
    loop {
        let reading = reader.read(Vec::with_capacity(PIECE_BYTES));
        let closing = wait_until_closed(state, generation);
        let read = futures_util::future::select(Box::pin(reading), Box::pin(closing)).await;
        let futures_util::future::Either::Left((BufResult(Ok(read), buf), _)) = read else {
            return;
        };
        if read == 0 {
            return;
        }
        if let Link::Slow(ms) = state.link.get() {
            compio::time::sleep(Duration::from_millis(ms)).await;
        }
        while is_held(state, generation, is_up) {
            compio::time::sleep(HOLD_POLL).await;
            if generation < state.closed.get() {
                return;
            }
        }
        if writer.write_all(buf.slice(..read)).await.0.is_err() {
            return;
        }
    }
}

async fn wait_until_closed(
    state: &State,
    generation: u64,
) {
    while generation >= state.closed.get() {
        compio::time::sleep(HOLD_POLL).await;
    }
}

fn is_held(
    state: &State,
    generation: u64,
    is_up: bool,
) -> bool {
    let is_cut = match state.link.get() {
        Link::Open | Link::Slow(_) => false,
        Link::CutUp => is_up,
        Link::CutDown => !is_up,
        Link::Cut => true,
    };
    is_cut || generation < state.silenced.get()
}
