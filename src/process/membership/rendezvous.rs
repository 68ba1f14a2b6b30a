//! Rendezvous hashing (Thaler and Ravishankar, 1998): all processes that know the same candidates
//! rank them in the same order, and the loss of a candidate moves only the keys assigned to it.

use crate::prelude::*;

/// Returns a candidate's weight for a key; the candidate with the highest weight ranks first.
pub(crate) fn rendezvous_weight(
    key: &str,
    candidate: &str,
) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Sorts candidates for a key by descending weight, then by name.
pub(crate) fn rendezvous_sort<F, T>(
    key: &str,
    candidates: &mut [T],
    name: F,
) where
    F: Fn(&T) -> &str,
{
    candidates.sort_by_cached_key(|c| {
        let name = name(c);
        (
            std::cmp::Reverse(rendezvous_weight(key, name)),
            name.to_owned(),
        )
    });
}

/// Returns an entry's rank among the live entries for a key; rank 0 is the first choice.
pub(crate) fn rendezvous_rank(
    key: &str,
    entry: &EntryName,
    live: &[EntryName],
) -> u32 {
    let own = rendezvous_weight(key, entry.as_str());
    let better = |e: &&EntryName| rendezvous_weight(key, e.as_str()) > own;
    live.iter().filter(better).count() as u32
}
