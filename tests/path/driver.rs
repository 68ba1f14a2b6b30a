//! What the runtime waits on.

use compio::runtime::Runtime;

/// The runtime polls; it does not use io_uring.
#[test]
fn the_runtime_polls() {
    let runtime = Runtime::new().expect("a runtime");
    assert!(runtime.driver_type().is_polling());
}
