//! Settings files and service documents, good and bad.

mod examples;
