//! Subtasks, guards and the ledger: decisions, faults and the whole path on stand-ins.

mod fuzz;
mod oracle;
mod scheduler;
mod world;
