//! Settings files and service documents, good and bad.

mod bad_files;
mod examples;
