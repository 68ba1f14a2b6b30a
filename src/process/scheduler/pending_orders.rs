//! The orders that are not sent to a guard yet.

use {
    crate::{
        connection::{MAX_FRAME_BYTES, RunStart},
        request::RunRef,
    },
    std::collections::BTreeSet,
};

/// The limit on the starts in one message, in bytes. The rest of the frame is far more than the stops
/// and the other fields need.
const MAX_START_BYTES: usize = MAX_FRAME_BYTES / 4;

/// The limit on the encoded length of a start without its payload and checkpoint, in bytes.
const MAX_START_ENVELOPE_BYTES: usize = 64;

/// The orders for one guard that wait for the next message of its session.
#[derive(Clone, Debug, Default)]
pub struct PendingOrders {
    /// The runs to start.
    pub starts: Vec<RunStart>,
    /// The runs to stop.
    pub stops: Vec<RunRef>,
}

/// The orders of one message.
#[derive(Clone, Debug, Default)]
pub struct MessageOrders {
    /// The runs to start.
    pub starts: Vec<RunStart>,
    /// The runs to stop.
    pub stops: Vec<RunRef>,
    /// The runs whose starts are dropped, because they were to be stopped before they were sent.
    pub dropped: Vec<RunRef>,
}

impl PendingOrders {
    /// Takes the orders for the next message: all stops, and as many starts as one frame carries,
    /// but at least one. The other starts stay.
    pub fn take_message(&mut self) -> MessageOrders {
        let stops = std::mem::take(&mut self.stops);
        let stopped: BTreeSet<RunRef> = stops.iter().copied().collect();
        let starts = std::mem::take(&mut self.starts).into_iter();
        let (dropped, mut starts): (Vec<RunStart>, Vec<RunStart>) =
            starts.partition(|s| stopped.contains(&s.run));
        let mut bytes = 0;
        let fitting = starts.iter().take_while(|start| {
            bytes += encoded_len(start);
            bytes <= MAX_START_BYTES
        });
        let count = fitting.count().max(1).min(starts.len());
        self.starts = starts.split_off(count);
        MessageOrders {
            starts,
            stops,
            dropped: dropped.into_iter().map(|s| s.run).collect(),
        }
    }

    /// Returns whether no orders wait.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty() && self.stops.is_empty()
    }
}

/// Returns the length of an encoded start, in bytes, or slightly more.
fn encoded_len(start: &RunStart) -> usize {
    let checkpoint_len = start.checkpoint.as_ref().map_or(0, |c| c.len());
    start.payload.len() + checkpoint_len + MAX_START_ENVELOPE_BYTES
}
