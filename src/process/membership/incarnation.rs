//! Numbers that order the starts of a process.

use crate::prelude::*;

/// The low bits of an incarnation that are drawn at random.
const RANDOM_BITS: u32 = 16;

/// Returns a number for this start that is higher than those of earlier starts: the time of day
/// in milliseconds, then random bits. It assumes that the time of day at a start is never before
/// that of the start before it.
pub fn new_incarnation(clock: &dyn Clock) -> u64 {
    let random: u16 = rand::random();
    (clock.wall_time().0 << RANDOM_BITS) | u64::from(random)
}
