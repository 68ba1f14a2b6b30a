//! Entries discover each other and detect failed ones.

use {
    crate::fleet::{Fleet, Place},
    limpetquay::{prelude::*, process::clock::VirtualClock},
};

pub const PLACES: [Place; 4] = [
    Place {
        region: "jozi",
        data_centre: "jozi-1",
    },
    Place {
        region: "jozi",
        data_centre: "jozi-2",
    },
    Place {
        region: "kaapstad",
        data_centre: "kaap-1",
    },
    Place {
        region: "kaapstad",
        data_centre: "kaap-2",
    },
];

/// Entries whose only seed is the load balancer discover all others, and drop a killed one.
#[test]
fn entries_find_each_other() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let seen = clock.block_on(async move {
        let mut fleet = Fleet::new(cx, 1);
        fleet.populate(&PLACES, 2, 0);
        let found = fleet
            .wait_until(Duration::from_secs(5), Fleet::is_settled)
            .await;
        fleet.kill_entry("e-jozi-1-1");
        let dropped = fleet
            .wait_until(Duration::from_secs(15), Fleet::is_settled)
            .await;
        [
            format!("all found within 5 s: {}", found.is_some()),
            format!("a dead one dropped within 15 s: {}", dropped.is_some()),
            format!("{:?}", fleet.known_entries("e-kaap-2-0")),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}
