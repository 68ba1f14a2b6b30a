//! Handling of the signals that stop a process or make it read its settings again.

use {
    futures_util::{
        future::{FutureExt, LocalBoxFuture, select},
        pin_mut,
    },
    std::{io, process},
};

/// The number of the signal sent by Ctrl-C.
const SIGINT: i32 = 2;

/// The number of the signal by which a platform asks a process to shut down.
const SIGTERM: i32 = 15;

/// The number of the signal by which a platform reports that the settings file has changed.
const SIGHUP: i32 = 1;

/// The exit code of a process that a second stop signal ends.
const EXIT_FORCED: i32 = 1;

/// Receives one occurrence of a signal. It listens from its creation on, even before `wait` is
/// called. While a signal has no listener, its default action applies and ends the process.
struct SignalListener {
    received: LocalBoxFuture<'static, io::Result<()>>,
    early_result: Option<io::Result<()>>,
}

impl SignalListener {
    fn new(signal: i32) -> Self {
        let mut received: LocalBoxFuture<'static, _> =
            Box::pin(compio::signal::unix::signal(signal));
        // The library starts to listen when the future is first polled.
        let early_result = (&mut received).now_or_never();
        Self {
            received,
            early_result,
        }
    }

    async fn wait(self) {
        let result = match self.early_result {
            Some(result) => result,
            None => self.received.await,
        };
        if let Err(e) = result {
            tracing::error!(error = %e, "cannot listen for signals");
            // Returning would make the waiting task treat the failure as a signal.
            std::future::pending::<()>().await;
        }
    }
}

/// Starts to listen for SIGINT and SIGTERM and returns a future that waits for the first one. After
/// it, a second one ends the process at once.
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

/// Starts to listen for SIGHUP and returns a future that calls `reload` at each one.
pub(super) fn listen_for_reloads<F>(reload: F) -> impl Future<Output = ()>
where
    F: Fn(),
{
    let permanent = SignalListener::new(SIGHUP);
    let mut next = SignalListener::new(SIGHUP);
    async move {
        // Never awaited. Without it, a signal between the end of one listener and the creation of
        // the next would end the process.
        let _permanent = permanent;
        loop {
            next.wait().await;
            next = SignalListener::new(SIGHUP);
            reload();
        }
    }
}

/// Receives one SIGINT or SIGTERM.
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
