//! The guard beside an upstream: the sole authority on its slots and accelerators.

mod accelerator_allocator;
mod gang;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod guard;
mod guard_status;
mod lateness_estimator;
mod recent_requests;
mod request_runner;
mod running_guard;
mod slot_pool;

pub use {
    accelerator_allocator::{AcceleratorAllocator, AllocationState, PieceAllocation, Reservation},
    gang::{
        Fences, GangManager, LedGang, OverrunAction, OverrunMonitor, Piece, PieceStage, bounds,
    },
    guard::Guard,
    guard_status::GuardStatus,
    lateness_estimator::LatenessEstimator,
    recent_requests::{AdmitResult, RecentRequests, RequestState},
    request_runner::RequestRunner,
    running_guard::RunningGuard,
    slot_pool::{Slot, SlotPool},
};
