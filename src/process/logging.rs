//! Log output as JSON lines.

use {
    std::{
        io::{self, Write},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
        },
        thread,
        time::Duration,
    },
    tracing_subscriber::{EnvFilter, fmt::MakeWriter},
};

/// The environment variable that sets the log level, in the syntax of `tracing`.
const LEVEL_VARIABLE: &str = "LIMPETQUAY_LOG";

/// The maximum number of lines queued for writing; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2048;

/// How long a process that ends waits for its last lines to be written. The wait is bounded so that
/// a stalled reader of standard output cannot block the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts logging to standard error, one JSON object a line. A second call has no effect.
pub fn start(default_level: &str) {
    install(default_level, io::stderr);
}

/// Starts logging to standard output, one JSON object a line.
///
/// A separate thread writes the lines, so a stalled reader never blocks the process. When the queue
/// is full, lines are dropped, and their number is written before the next line. Dropping the
/// returned guard writes the queued lines, for at most 200 ms.
///
/// # Panics
/// Panics if the operating system cannot start a thread.
#[must_use]
pub fn start_on_stdout(default_level: &str) -> LogFlushGuard {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    let (flushed_tx, flushed_rx) = sync_channel(0);
    let writer = move || write_lines(&rx, &counter, &flushed_tx);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(writer)
        .expect("the operating system starts a thread");
    let flush_guard = LogFlushGuard {
        tx: tx.clone(),
        flushed: flushed_rx,
    };
    install(default_level, LineSender { tx, dropped });
    flush_guard
}

/// A guard that flushes the queued log lines when it is dropped.
pub struct LogFlushGuard {
    tx: SyncSender<LogItem>,
    flushed: Receiver<()>,
}

impl Drop for LogFlushGuard {
    fn drop(&mut self) {
        let is_requested = self.tx.try_send(LogItem::Flush).is_ok();
        if !is_requested || self.flushed.recv_timeout(FLUSH_TIMEOUT).is_err() {
            eprintln!("limpetquay: the last log lines could not be written in time and are lost");
        }
    }
}

/// A message to the writing thread.
enum LogItem {
    /// A log line to write.
    Line(Vec<u8>),
    /// A request to report when all earlier lines are written.
    Flush,
}

fn install<W>(
    default_level: &str,
    writer: W,
) where
    W: for<'w> MakeWriter<'w> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_from_env(LEVEL_VARIABLE);
    let filter = filter.unwrap_or_else(|_| EnvFilter::new(default_level));
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .finish();
    // Fails if a subscriber is already set; the first one then stays, as documented.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// A writer that queues lines for the writing thread and never blocks.
#[derive(Clone)]
struct LineSender {
    tx: SyncSender<LogItem>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineSender {
    fn write(
        &mut self,
        line: &[u8],
    ) -> io::Result<usize> {
        match self.tx.try_send(LogItem::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LineSender {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

/// Writes queued lines to standard output until all senders are dropped or a write fails.
fn write_lines(
    rx: &Receiver<LogItem>,
    dropped: &AtomicU64,
    flushed: &SyncSender<()>,
) {
    let mut out = io::stdout();
    while let Ok(item) = rx.recv() {
        let LogItem::Line(line) = item else {
            if flushed.send(()).is_err() {
                return;
            }
            continue;
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let notice = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{count}}}\n"
            );
            if out.write_all(notice.as_bytes()).is_err() {
                return;
            }
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
