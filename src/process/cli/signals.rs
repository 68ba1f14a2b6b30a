//! Handling of the signals that stop a process or make it read its settings again.

use {
    compio::{io::AsyncRead, net::UnixStream},
    std::{io, os::unix::net::UnixStream as StdUnixStream, process},
};

/// The number of the signal sent by Ctrl-C.
const SIGINT: i32 = 2;

/// The number of the signal by which a platform asks a process to shut down.
const SIGTERM: i32 = 15;

/// The number of the signal by which a platform reports that the settings file has changed.
const SIGHUP: i32 = 1;

/// The exit code of a process that a second stop signal ends.
const EXIT_FORCED: i32 = 1;

/// The number of pending signals that one read takes.
const MAX_PENDING: usize = 64;

/// Receives signals from its creation on; their default action no longer applies.
///
/// The handler only writes a byte to a socket, because it may run on a thread that is just being
/// started, where nothing that asks for the current thread may be called.
struct SignalReceiver {
    /// Holds one byte for each signal that was not waited for yet.
    pending: io::Result<StdUnixStream>,
}

impl SignalReceiver {
    fn new(signals: &[i32]) -> Self {
        Self {
            pending: register(signals),
        }
    }

    /// Attaches the receiver to the runtime.
    fn listen(self) -> PendingSignals {
        let stream = self.pending.and_then(UnixStream::from_std);
        PendingSignals { stream }
    }
}

/// Registers handlers that write to the other end of the returned socket.
fn register(signals: &[i32]) -> io::Result<StdUnixStream> {
    let (receiver, sender) = StdUnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}

/// The signals of a [`SignalReceiver`] in a runtime.
struct PendingSignals {
    stream: io::Result<UnixStream>,
}

impl PendingSignals {
    /// Waits for the next signal. Signals that have arrived together count as one.
    async fn wait(&mut self) {
        let result = match &mut self.stream {
            Ok(stream) => stream.read([0; MAX_PENDING]).await.0,
            Err(e) => Err(io::Error::new(e.kind(), e.to_string())),
        };
        match result {
            Ok(count) if count > 0 => {}
            result => {
                tracing::error!(error = ?result.err(), "cannot listen for signals");
                // Returning would make the waiting task treat the failure as a signal.
                std::future::pending::<()>().await;
            }
        }
    }
}

/// Starts to listen for SIGINT and SIGTERM and returns a future that waits for the first one. After
/// it, a second one ends the process at once.
pub(super) fn listen_for_stop() -> impl Future<Output = ()> {
    let signals = SignalReceiver::new(&[SIGINT, SIGTERM]);
    async move {
        let mut signals = signals.listen();
        signals.wait().await;
        tracing::info!("stopping; another signal ends the process at once");
        compio::runtime::spawn(async move {
            signals.wait().await;
            process::exit(EXIT_FORCED);
        })
        .detach();
    }
}

/// Starts to listen for SIGHUP and returns a future that calls `reload` after one or several.
pub(super) fn listen_for_reloads<F>(reload: F) -> impl Future<Output = ()>
where
    F: Fn(),
{
    let signals = SignalReceiver::new(&[SIGHUP]);
    async move {
        let mut signals = signals.listen();
        loop {
            signals.wait().await;
            reload();
        }
    }
}
