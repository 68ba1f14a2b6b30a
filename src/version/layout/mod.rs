//! The layout: which accelerators each guaranteed shape holds.

mod fleet;
mod ground;
mod lay_out;
#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod layout;
mod search;

pub use {
    fleet::{Fleet, FleetWorker},
    lay_out::lay_out,
    layout::{Guarantee, LaidMember, LaidShape, Layout, UnmetReason, UnmetShape},
};
