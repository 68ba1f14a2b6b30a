//! The command line: one module a command, and the code that selects and runs it.

mod admin;
mod bench_command;
mod check_command;
mod cli_error;
mod command;
mod decisions_command;
mod key_hash_command;
mod load_command;
mod local_command;
mod platform_command;
mod role;
mod roles;
mod run;
mod signals;
mod trace_command;

pub use {
    admin::{AdminClient, run_admin},
    check_command::check_text,
    cli_error::CliError,
    command::Command,
    run::{help_pages, run},
};
