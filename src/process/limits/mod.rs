//! Limits on what clients can make a process hold: bytes of bodies, bodies in progress and open
//! connections; and bytes of submissions that are being stored.

mod body_budget;
mod connection_table;
mod event_throttle;
mod port_limiter;
mod process_limits;
mod submission_budget;

pub use {
    body_budget::{BodyBudget, BodyId, OverLimit},
    connection_table::{ConnectionId, ConnectionTable},
    event_throttle::EventThrottle,
    port_limiter::{BodyError, BodySlot, BusyConnection, OpenConnection, PortLimiter},
    process_limits::{PortLimits, ProcessLimiter, ProcessLimits},
    submission_budget::{HeldSubmission, SubmissionBudget},
};
