//! Log lines in JSON.

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

/// The most lines that wait to be written; lines beyond are dropped and counted.
const MAX_QUEUED_LINES: usize = 2048;

/// How long the end of a process waits for its last lines to be written; a reader that does not read
/// must not hold it up.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts logging to standard error, one JSON object a line. A second call changes nothing.
pub fn start(default_level: &str) {
    install(default_level, io::stderr);
}

/// Starts logging to standard output, one JSON object a line. Lines are written by a thread of
/// their own, so a reader that does not read never blocks the process; lines for which there is no
/// room are dropped and their number is written with the next line. When the returned value is
/// dropped, the lines that wait are written, within a limit.
///
/// # Panics
/// When the system starts no thread.
#[must_use]
pub fn start_on_stdout(default_level: &str) -> LogFlushGuard {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    let (finished_tx, finished_rx) = sync_channel(0);
    let writing = move || write_lines(&rx, &counter, &finished_tx);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(writing)
        .expect("the system starts threads");
    let end = LogFlushGuard {
        tx: tx.clone(),
        flushed: finished_rx,
    };
    install(default_level, LineSender { tx, dropped });
    end
}

/// Writes the lines that wait when it is dropped.
pub struct LogFlushGuard {
    tx: SyncSender<LogItem>,
    flushed: Receiver<()>,
}

impl Drop for LogFlushGuard {
    fn drop(&mut self) {
        let is_asked = self.tx.try_send(LogItem::Flush).is_ok();
        if !is_asked || self.flushed.recv_timeout(FLUSH_TIMEOUT).is_err() {
            eprintln!("limpetquay: the last log lines were not read in time and are lost");
        }
    }
}

/// What the writing thread is handed.
enum LogItem {
    /// A line.
    Line(Vec<u8>),
    /// The question to say when all lines before it are written.
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
    // A second subscriber is refused, which leaves the first one in place as promised.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Hands lines to the writing thread.
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

/// Writes lines until the process ends or its output is closed.
fn write_lines(
    rx: &Receiver<LogItem>,
    dropped: &AtomicU64,
    finished: &SyncSender<()>,
) {
    let mut out = io::stdout();
    while let Ok(item) = rx.recv() {
        let LogItem::Line(line) = item else {
            if finished.send(()).is_err() {
                return;
            }
            continue;
        };
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lost}}}\n"
            );
            if out.write_all(note.as_bytes()).is_err() {
                return;
            }
        }
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
