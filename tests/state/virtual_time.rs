//! Single cases.

use {
    limpetquay::{prelude::*, process::clock::VirtualClock},
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// A check that fails within virtual time fails the test, rather than letting time run on while
/// other tasks sleep.
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
    let panic = result.expect_err("the panic is seen");
    assert_eq!(panic.downcast_ref::<&str>(), Some(&"a check failed"));
}
