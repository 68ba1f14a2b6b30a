//! A loopback TCP proxy that injects faults into connections.

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

/// How often a blocked connection checks whether it may continue.
const BLOCKED_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The largest chunk that is forwarded at once, in bytes.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// How a proxy forwards bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// Bytes are forwarded at once.
    #[default]
    Open,
    /// Each chunk is delayed by this many milliseconds.
    Slow(u64),
    /// Nothing is forwarded to the server until the state changes.
    BlockedToServer,
    /// Nothing is forwarded to the client until the state changes.
    BlockedToClient,
    /// Nothing is forwarded in either direction until the state changes.
    Blocked,
    /// Connections are closed and new ones refused until the state changes.
    Refused,
}

/// The state of a proxy, shared by all its connections.
#[derive(Default)]
struct ProxyState {
    link: Cell<LinkState>,
    /// Connections of lower generations never forward anything again.
    stalled_below: Cell<u64>,
    /// The number of connections that the client has used since they were stalled last.
    stalled_uses: Cell<usize>,
    /// Connections of lower generations are closed.
    closed_below: Cell<u64>,
    /// The generation of new connections.
    generation: Cell<u64>,
}

/// A proxy in front of one address.
pub struct Proxy {
    state: Rc<ProxyState>,
    address: SocketAddr,
    _task: JoinHandle<()>,
}

impl Proxy {
    /// Listens at `address` and forwards connections to `target`.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind(address)
            .await
            .expect("the address is free");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let state = Rc::<ProxyState>::default();
        let task = spawn(serve(listener, target, state.clone()));
        Self {
            state,
            address,
            _task: task,
        }
    }

    /// Returns the address at which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how bytes are forwarded.
    pub fn state(&self) -> LinkState {
        self.state.link.get()
    }

    /// Sets how bytes are forwarded.
    pub fn set_state(
        &self,
        link: LinkState,
    ) {
        self.state.link.set(link);
    }

    /// Stalls the existing connections for ever. New ones are not affected.
    pub fn stall_connections(&self) {
        self.state.generation.set(self.state.generation.get() + 1);
        self.state.stalled_below.set(self.state.generation.get());
        self.state.stalled_uses.set(0);
    }

    /// Returns on how many connections the client has sent something since they were stalled last.
    pub fn stalled_uses(&self) -> usize {
        self.state.stalled_uses.get()
    }

    /// Closes the existing connections.
    pub fn close_connections(&self) {
        self.state.generation.set(self.state.generation.get() + 1);
        self.state.closed_below.set(self.state.generation.get());
    }
}

/// Accepts connections, and stops listening while the link refuses them.
async fn serve(
    mut listener: TcpListener,
    target: SocketAddr,
    state: Rc<ProxyState>,
) {
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    loop {
        let accepting = accept_connections(listener, target, state.clone());
        let refusing = wait_until(|| state.link.get() == LinkState::Refused);
        futures_util::future::select(Box::pin(accepting), Box::pin(refusing)).await;
        wait_until(|| state.link.get() != LinkState::Refused).await;
        listener = std::net::TcpListener::bind(address)
            .and_then(TcpListener::from_std)
            .expect("the address is free again");
    }
}

async fn wait_until<F>(condition: F)
where
    F: Fn() -> bool,
{
    while !condition() {
        compio::time::sleep(BLOCKED_CHECK_INTERVAL).await;
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    state: Rc<ProxyState>,
) {
    let mut connections: Vec<JoinHandle<()>> = Vec::new();
    while let Ok((client, _)) = listener.accept().await {
        let state = state.clone();
        connections.retain(|c| !c.is_finished());
        connections.push(spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let generation = state.generation.get();
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let to_server = forward(client_read, server_write, &state, generation, true);
            let to_client = forward(server_read, client_write, &state, generation, false);
            futures_util::future::select(Box::pin(to_server), Box::pin(to_client)).await;
        }));
    }
}

async fn forward<R, W>(
    mut reader: R,
    mut writer: W,
    state: &ProxyState,
    generation: u64,
    is_to_server: bool,
) where
    R: AsyncRead,
    W: AsyncWriteExt,
{
    loop {
        let reading = reader.read(Vec::with_capacity(MAX_CHUNK_BYTES));
        let closing = wait_until_closed(state, generation);
        let read = futures_util::future::select(Box::pin(reading), Box::pin(closing)).await;
        let futures_util::future::Either::Left((BufResult(Ok(read), buf), _)) = read else {
            return;
        };
        if read == 0 {
            return;
        }
        // A stalled connection is never read again, so that it counts once.
        if is_to_server && generation < state.stalled_below.get() {
            state.stalled_uses.set(state.stalled_uses.get() + 1);
        }
        if let LinkState::Slow(ms) = state.link.get() {
            compio::time::sleep(Duration::from_millis(ms)).await;
        }
        while is_blocked(state, generation, is_to_server) {
            compio::time::sleep(BLOCKED_CHECK_INTERVAL).await;
            if generation < state.closed_below.get() {
                return;
            }
        }
        if writer.write_all(buf.slice(..read)).await.0.is_err() {
            return;
        }
    }
}

async fn wait_until_closed(
    state: &ProxyState,
    generation: u64,
) {
    while generation >= state.closed_below.get() {
        compio::time::sleep(BLOCKED_CHECK_INTERVAL).await;
    }
}

fn is_blocked(
    state: &ProxyState,
    generation: u64,
    is_to_server: bool,
) -> bool {
    let is_direction_blocked = match state.link.get() {
        LinkState::Open | LinkState::Slow(_) => false,
        LinkState::BlockedToServer => is_to_server,
        LinkState::BlockedToClient => !is_to_server,
        LinkState::Blocked | LinkState::Refused => true,
    };
    is_direction_blocked || generation < state.stalled_below.get()
}
