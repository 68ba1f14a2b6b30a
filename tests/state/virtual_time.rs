//! Panics in tests that run on the virtual clock.

use {
    limpetquay::{prelude::*, process::clock::VirtualClock},
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Guards against a failed assertion that does not fail the test: a panic must end the run of the
/// virtual clock, even if other tasks still sleep and would keep the time advancing.
#[test]
fn panics_leave_virtual_time() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let run = AssertUnwindSafe(|| {
        clock.block_on(async move {
            compio::runtime::spawn(async move {
                loop {
                    cx.sleep(Duration::from_secs(1)).await;
                }
            })
            .detach();
            panic!("a check failed");
        });
    });
    let result: Result<(), _> = catch_unwind(run);
    let panic = result.expect_err("the panic is propagated");
    assert_eq!(panic.downcast_ref::<&str>(), Some(&"a check failed"));
}
