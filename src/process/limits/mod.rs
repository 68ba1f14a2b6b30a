//! Limits on what clients can make a process hold: bytes of bodies, bodies in progress and open
//! connections; bytes of submissions that are being stored; bytes of
//! jobs; and cancellations of unknown jobs.

mod account_shares;
mod body_budget;
mod connection_table;
mod event_throttle;
mod job_memory;
mod port_limiter;
mod process_limits;
mod submission_budget;

pub use {
    account_shares::AccountShares,
    body_budget::{BodyBudget, BodyId, OverLimit},
    connection_table::{ConnectionId, ConnectionTable},
    event_throttle::EventThrottle,
    job_memory::admits_job,
    port_limiter::{BodyError, BodySlot, BusyConnection, OpenConnection, PortLimiter},
    process_limits::{PortLimits, ProcessLimiter, ProcessLimits},
    submission_budget::{HeldSubmission, SubmissionBudget},
};
