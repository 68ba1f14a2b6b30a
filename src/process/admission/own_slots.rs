//! Counts the slots that this entry uses at one upstream.

use crate::prelude::*;

/// Length of a window. The peak covers the current and the previous window, so that an announcement
/// may arrive at least one window late.
const PEAK_WINDOW: Duration = Duration::from_millis(50);

/// Slots that the entry uses now, and the most it used recently.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSlots {
    /// Slots in use now.
    pub count: u32,
    current_peak: u32,
    previous_peak: u32,
    window_start: Millis,
}

impl OwnSlots {
    /// Sets the number of slots in use now.
    pub fn set(
        &mut self,
        now: Millis,
        count: u32,
    ) {
        self.roll_window(now);
        self.count = count;
        self.current_peak = self.current_peak.max(count);
    }

    /// Returns the most slots that were in use at once in the current and the previous window.
    pub fn peak(
        &mut self,
        now: Millis,
    ) -> u32 {
        self.roll_window(now);
        self.current_peak.max(self.previous_peak)
    }

    /// Starts a new window if the current one is over.
    fn roll_window(
        &mut self,
        now: Millis,
    ) {
        let age = now.since(self.window_start);
        if age < PEAK_WINDOW {
            return;
        }
        self.previous_peak = if age < 2 * PEAK_WINDOW {
            self.current_peak
        } else {
            self.count
        };
        self.current_peak = self.count;
        self.window_start = now;
    }
}
