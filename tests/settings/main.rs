//! Tests of settings files, service documents and the help of the command line.

mod bad_files;
mod examples;
mod help;
