//! The slots that this entry holds at one upstream.

use crate::prelude::*;

/// How long an announcement may be on its way, at least; the peak covers one to two such windows.
const PEAK_WINDOW: Duration = Duration::from_millis(50);

/// The slots held now and the most held of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSlots {
    /// The slots held now.
    pub count: u32,
    current_peak: u32,
    previous_peak: u32,
    window_start: Millis,
}

impl OwnSlots {
    /// Sets the slots held now.
    pub fn set(
        &mut self,
        now: Millis,
        count: u32,
    ) {
        self.roll_window(now);
        self.count = count;
        self.current_peak = self.current_peak.max(count);
    }

    /// Returns the most slots held of late.
    pub fn peak(
        &mut self,
        now: Millis,
    ) -> u32 {
        self.roll_window(now);
        self.current_peak.max(self.previous_peak)
    }

    /// Begins a new window when the present one is over.
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
