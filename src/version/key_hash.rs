//! Hashes of bearer keys.

use {
    derive_more::{Debug, Display, Error},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
    subtle::ConstantTimeEq,
};

/// The BLAKE3 hash of a bearer key.
#[derive(Clone, Copy, Debug, Deserialize, Display, Serialize)]
#[debug("KeyHash(..)")]
#[display("{}", blake3::Hash::from_bytes(*_0).to_hex())]
pub struct KeyHash([u8; 32]);

/// The error for a text that is not a key hash.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("expected the BLAKE3 hash of the key, 64 hexadecimal digits")]
pub struct KeyHashError;

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Returns whether `other` is the same hash, in constant time.
    pub fn matches(
        &self,
        other: &Self,
    ) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, KeyHashError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| KeyHashError)?;
        Ok(Self(*hash.as_bytes()))
    }
}
