//! Decides which jobs fit into the memory of the entries.

/// The part of the room that is left of which one job may take the whole. The largest jobs are refused
/// long before there is no room for ordinary ones.
const ROOM_DIVISOR: usize = 4;

/// Returns whether a job may be accepted beside those that are held. The first one always is.
pub fn admits_job(
    job_bytes: usize,
    held_bytes: usize,
    max_bytes: usize,
) -> bool {
    held_bytes == 0 || job_bytes <= max_bytes.saturating_sub(held_bytes) / ROOM_DIVISOR
}
