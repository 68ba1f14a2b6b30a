//! Incarnation numbers, which order the starts of a process.

use crate::prelude::*;

/// The number of random low bits of an incarnation.
const RANDOM_BITS: u32 = 16;

/// Returns an incarnation that is higher than those of earlier starts: the wall-clock time in
/// milliseconds, followed by random bits. Assumes that the wall clock does not go backwards between
/// two starts of a process.
pub fn new_incarnation(clock: &dyn Clock) -> u64 {
    let random: u16 = rand::random();
    (clock.wall_time().0 << RANDOM_BITS) | u64::from(random)
}
