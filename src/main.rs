//! The entry point of the `limpetquay` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    limpetquay::process::cli::run(std::env::args().skip(1).collect())
}
