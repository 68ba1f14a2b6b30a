//! Output of commands to standard output.

use std::io::{self, ErrorKind, Write};

/// Prints text to standard output. A broken pipe counts as success, because readers such as `head`
/// close their end early.
///
/// # Errors
/// Returns the error of the write.
pub fn print_text(text: &str) -> io::Result<()> {
    match io::stdout().lock().write_all(text.as_bytes()) {
        Err(e) if e.kind() == ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}
