//! The guard beside an upstream: the one authority on its slots and accelerators.

mod accelerator_book;
mod gang;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod guard;
mod guard_status;
mod lateness;
mod recent_requests;
mod run_requests;
mod running_guard;
mod slot_book;

pub use {
    accelerator_book::{AcceleratorBook, Claim, Hold, Holding},
    gang::{
        Fences, GangManager, LedGang, OverrunAction, OverrunMonitor, Piece, PieceStage, bounds,
    },
    guard::Guard,
    guard_status::GuardStatus,
    lateness::Lateness,
    recent_requests::{Admittance, RecentRequests, RecentState},
    run_requests::RequestRunner,
    running_guard::RunningGuard,
    slot_book::{Slot, SlotBook},
};
