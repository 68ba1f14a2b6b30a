//! The bearer keys of the shipped examples.

/// Returns the key of an account or operator in the shipped examples. Keys in use must be drawn
/// at random instead.
pub fn example_key(name: &str) -> String {
    format!("{name}-example-key")
}
