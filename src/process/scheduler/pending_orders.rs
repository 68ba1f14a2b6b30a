//! The orders that are not sent to a guard yet.

use crate::{connection::RunStart, request::RunRef};

/// The orders for one guard that wait for the next message of its session.
#[derive(Clone, Debug, Default)]
pub struct PendingOrders {
    /// The runs to start.
    pub starts: Vec<RunStart>,
    /// The runs to stop.
    pub stops: Vec<RunRef>,
}
