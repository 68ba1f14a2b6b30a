//! Settings files and service documents, good and bad, and the command line's help.

mod bad_files;
mod examples;
mod help;
