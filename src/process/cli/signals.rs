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

/// The number of the signal by which a platform says that the settings file has changed.
const SIGHUP: i32 = 1;

/// The pause after a failure to hear signals.
const HEAR_RETRY: std::time::Duration = std::time::Duration::from_secs(1);

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

/// Hears SIGHUP for as long as the process lives, and does `reload` each time.
pub(super) async fn hear_reloads<F>(reload: F)
where
    F: Fn(),
{
    loop {
        match compio::signal::unix::signal(SIGHUP).await {
            Ok(()) => reload(),
            Err(e) => {
                tracing::error!(error = %e, "reloads cannot be heard");
                compio::time::sleep(HEAR_RETRY).await;
            }
        }
    }
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
