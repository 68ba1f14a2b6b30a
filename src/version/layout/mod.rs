//! The layout, which assigns concrete accelerators to each guaranteed shape.

mod compute_layout;
mod fleet;
mod free_accelerators;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod layout;
mod search;

pub use {
    compute_layout::compute_layout,
    fleet::{Fleet, FleetWorker},
    layout::{Guarantee, Layout, PlacedMember, PlacedShape, UnmetReason, UnmetShape},
};
