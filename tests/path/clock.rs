//! Tests of virtual time.

use {
    compio::runtime::spawn,
    limpetquay::{prelude::*, process::clock::VirtualClock},
};

/// Sleepers wake in the order of their wake-up times, and the clock shows exactly these times.
#[test]
fn sleepers_wake_in_order() {
    let clock = VirtualClock::new();
    let wakeups: Rc<RefCell<Vec<String>>> = Rc::default();
    let output = wakeups.clone();
    let cx = clock.clone();
    clock.block_on(async move {
        for (name, ms) in [("late", 300), ("early", 100), ("middle", 200)] {
            let output = output.clone();
            let cx = cx.clone();
            spawn(async move {
                cx.sleep(Duration::from_millis(ms)).await;
                output.borrow_mut().push(format!("{name} at {}", cx.now()));
            })
            .detach();
        }
        cx.sleep(Duration::from_secs(1)).await;
    });
    insta::assert_debug_snapshot!(wakeups.borrow(), @r#"
    [
        "early at 100ms",
        "middle at 200ms",
        "late at 300ms",
    ]
    "#);
}
