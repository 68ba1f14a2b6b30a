//! Decoding of the last fields of messages, which processes of earlier versions do not send.

use serde::{Deserialize, Deserializer};

/// Decodes a field that is true if the message ends before it.
pub(crate) fn true_if_missing<'de, D>(deserializer: D) -> Result<bool, D::Error>
where
    D: Deserializer<'de>,
{
    Ok(bool::deserialize(deserializer).unwrap_or(true))
}

/// Decodes a field that is false if the message ends before it.
pub(crate) fn false_if_missing<'de, D>(deserializer: D) -> Result<bool, D::Error>
where
    D: Deserializer<'de>,
{
    Ok(bool::deserialize(deserializer).unwrap_or(false))
}

/// Decodes a field that is `None` if the message ends before it.
pub(crate) fn none_if_missing<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::deserialize(deserializer).unwrap_or(None))
}
