//! The source of time, behind a trait so that tests and replays can use virtual time.

#[expect(
    clippy::module_inception,
    reason = "a file bears the name of its main type"
)]
mod clock;
mod late_timer;
mod system_clock;
mod virtual_clock;

pub use {
    clock::{Clock, Millis, with_timeout},
    late_timer::sleep_logging_delay,
    system_clock::SystemClock,
    virtual_clock::VirtualClock,
};
