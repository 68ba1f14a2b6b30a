//! The slots that this entry holds at one upstream.

use crate::prelude::*;

/// How long an announcement may be on its way, at least; the peak covers one to two such windows.
const WINDOW: Duration = Duration::from_millis(50);

/// The slots held now and the most held of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSlots {
    /// The slots held now.
    pub count: u32,
    present_peak: u32,
    former_peak: u32,
    since: Millis,
}

impl OwnSlots {
    /// Sets the slots held now.
    pub fn set(
        &mut self,
        now: Millis,
        count: u32,
    ) {
        self.turn(now);
        self.count = count;
        self.present_peak = self.present_peak.max(count);
    }

    /// Returns the most slots held of late.
    pub fn peak(
        &mut self,
        now: Millis,
    ) -> u32 {
        self.turn(now);
        self.present_peak.max(self.former_peak)
    }

    /// Begins a new window when the present one is over.
    fn turn(
        &mut self,
        now: Millis,
    ) {
        let age = now.since(self.since);
        if age < WINDOW {
            return;
        }
        self.former_peak = if age < 2 * WINDOW {
            self.present_peak
        } else {
            self.count
        };
        self.present_peak = self.count;
        self.since = now;
    }
}
