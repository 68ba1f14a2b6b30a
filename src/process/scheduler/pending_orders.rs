//! Orders that wait to be sent to a guard.

use crate::{connection::RunStart, request::RunRef};

/// What a guard is to be told.
#[derive(Clone, Debug, Default)]
pub struct PendingOrders {
    /// What to start.
    pub starts: Vec<RunStart>,
    /// What to stop.
    pub stops: Vec<RunRef>,
}
