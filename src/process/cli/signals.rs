//! Signals that stop a process.

use {
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
    std::process,
};

/// The number of the signal by which a platform asks a process to end.
const SIGTERM: i32 = 15;

/// The exit code of a process that a second signal ended.
const EXIT_AT_ONCE: i32 = 1;

/// Waits for the first SIGINT or SIGTERM; a second one then ends the process at once.
pub(super) async fn wait_for_stop() {
    wait_for_signal().await;
    tracing::info!("stopping; another signal ends the process at once");
    compio::runtime::spawn(async {
        wait_for_signal().await;
        process::exit(EXIT_AT_ONCE);
    })
    .detach();
}

async fn wait_for_signal() {
    let interrupt = compio::signal::ctrl_c();
    let terminate = compio::signal::unix::signal(SIGTERM);
    pin_mut!(interrupt, terminate);
    let result = match select(interrupt, terminate).await {
        Either::Left((result, _)) | Either::Right((result, _)) => result,
    };
    if let Err(e) = result {
        tracing::error!(error = %e, "signals cannot be heard");
    }
}
