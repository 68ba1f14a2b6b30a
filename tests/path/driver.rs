//! Tests of the runtime's I/O driver.

use compio::runtime::Runtime;

/// The runtime uses a polling driver, not io_uring.
#[test]
fn the_runtime_polls() {
    let runtime = Runtime::new().expect("a runtime");
    assert!(runtime.driver_type().is_polling());
}
