//! Hashes the content of requests.

use {
    crate::prelude::*,
    serde::{Deserialize, Serialize},
};

/// BLAKE3 hash of a request's account, kind and body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; 32]);

impl Fingerprint {
    /// Returns the fingerprint of an account's request.
    pub fn of(
        account: &AccountName,
        kind: &KindName,
        body: &[u8],
    ) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [account.as_str().as_bytes(), kind.as_str().as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.update(body).finalize().as_bytes())
    }
}
