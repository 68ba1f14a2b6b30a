//! What commands print.

use std::io::{self, ErrorKind, Write};

/// Prints text to standard output. A reader that has gone, such as `head`, is no failure.
///
/// # Errors
/// The error of writing.
pub fn print_text(text: &str) -> io::Result<()> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        written => written,
    }
}
