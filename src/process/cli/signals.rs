//! Signals that stop a process.

use {
    futures_util::{
        future::{FutureExt, LocalBoxFuture, select},
        pin_mut,
    },
    std::{io, process},
};

/// The number of the signal of Ctrl-C.
const SIGINT: i32 = 2;

/// The number of the signal by which a platform asks a process to end.
const SIGTERM: i32 = 15;

/// The number of the signal by which a platform says that the settings file has changed.
const SIGHUP: i32 = 1;

/// The exit code of a process that a second signal ended.
const EXIT_FORCED: i32 = 1;

/// Hears one signal from its creation on, also while nobody waits for it yet. While no listener of a
/// signal exists, the signal ends the process.
struct SignalListener {
    received: LocalBoxFuture<'static, io::Result<()>>,
    early_result: Option<io::Result<()>>,
}

impl SignalListener {
    fn new(signal: i32) -> Self {
        let mut heard: LocalBoxFuture<'static, _> = Box::pin(compio::signal::unix::signal(signal));
        // The library listens from the first poll on.
        let early = (&mut heard).now_or_never();
        Self {
            received: heard,
            early_result: early,
        }
    }

    async fn wait(self) {
        let result = match self.early_result {
            Some(result) => result,
            None => self.received.await,
        };
        if let Err(e) = result {
            tracing::error!(error = %e, "signals cannot be heard");
            // The task that waits would otherwise take the failure for a signal.
            std::future::pending::<()>().await;
        }
    }
}

/// Hears SIGINT and SIGTERM from now on, and waits for the first one; a second one then ends the
/// process at once.
pub(super) fn listen_for_stop() -> impl Future<Output = ()> {
    let first = StopListener::new();
    async move {
        first.wait().await;
        let second = StopListener::new();
        tracing::info!("stopping; another signal ends the process at once");
        compio::runtime::spawn(async {
            second.wait().await;
            process::exit(EXIT_FORCED);
        })
        .detach();
    }
}

/// Hears SIGHUP from now on, and does `reload` each time.
pub(super) fn listen_for_reloads<F>(reload: F) -> impl Future<Output = ()>
where
    F: Fn(),
{
    let keeper = SignalListener::new(SIGHUP);
    let mut next = SignalListener::new(SIGHUP);
    async move {
        // It is never waited for: it keeps the signal from ending the process between two others.
        let _keeper = keeper;
        loop {
            next.wait().await;
            next = SignalListener::new(SIGHUP);
            reload();
        }
    }
}

/// Hears the signals by which a process is asked to end.
struct StopListener {
    interrupt: SignalListener,
    terminate: SignalListener,
}

impl StopListener {
    fn new() -> Self {
        Self {
            interrupt: SignalListener::new(SIGINT),
            terminate: SignalListener::new(SIGTERM),
        }
    }

    async fn wait(self) {
        let interrupt = self.interrupt.wait();
        let terminate = self.terminate.wait();
        pin_mut!(interrupt, terminate);
        select(interrupt, terminate).await;
    }
}
