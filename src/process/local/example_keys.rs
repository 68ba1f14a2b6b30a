//! The bearer keys of the bundled examples.

/// Returns the key of a client account or operator in the bundled examples. It can be guessed from
/// the name; a deployment must use random keys.
pub fn example_key(name: &str) -> String {
    format!("{name}-example-key")
}
