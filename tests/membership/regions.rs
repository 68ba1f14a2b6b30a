//! Partitions between regions, and the traffic across their link.

use {
    crate::{entries::PLACES, fleet::Fleet},
    limpetquay::{prelude::*, process::clock::VirtualClock},
};

/// The traffic allowed across the link in the first minute after a partition, in bytes per second.
const JOIN_BYTES_PER_SECOND: u64 = 64 << 10;

/// Each region keeps working through a partition of an hour, and the regions merge afterwards
/// without excessive traffic.
#[test]
fn regions_part_and_join() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let seen = clock.block_on(async move {
        let mut fleet = Fleet::new(cx, 7);
        fleet.populate(&PLACES, 2, 3);
        let seconds = Duration::from_secs;
        fleet.wait(seconds(20)).await;
        fleet.network.set_partitioned(true);
        fleet.wait(seconds(1800)).await;
        fleet.kill_guard("kaap-1-w0");
        let address = fleet.fresh_address();
        fleet.start_guard("jozi-1-w9", PLACES[0], address);
        fleet.wait(seconds(1800)).await;
        let alone = fleet.known("e-jozi-1-0").into_keys().collect::<Vec<_>>();
        let before = fleet.network.link_bytes();
        fleet.network.set_partitioned(false);
        let joined = fleet.wait_until(seconds(30), Fleet::is_settled).await;
        fleet.wait(seconds(30)).await;
        let bytes = fleet.network.link_bytes() - before;
        let is_excessive = bytes > 30 * JOIN_BYTES_PER_SECOND;
        [
            format!("known alone: {alone:?}"),
            format!("joined within 30 s: {}", joined.is_some()),
            format!("excessive traffic on the link: {is_excessive}"),
            format!("differences: {:?}", fleet.differences()),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}

/// The link carries a few digests, not a heartbeat for each pair of entries.
#[test]
fn the_link_carries_digests() {
    let clock = VirtualClock::new();
    let cx = clock.clone();
    let seen = clock.block_on(async move {
        let mut fleet = Fleet::new(cx, 8);
        fleet.populate(&PLACES, 3, 10);
        fleet.wait(Duration::from_secs(60)).await;
        let before = fleet.network.link_bytes();
        fleet.wait(Duration::from_secs(60)).await;
        let each_second = (fleet.network.link_bytes() - before) / 60;
        let busiest = fleet
            .entries
            .values()
            .map(|e| fleet.network.host_bytes(e.address));
        let busiest = busiest.max().unwrap_or(0) / 120;
        [
            format!("below 4 KB a second on the link: {}", each_second < 4000),
            format!("below 12 KB a second at each entry: {}", busiest < 12_000),
        ]
    });
    insta::assert_debug_snapshot!(seen);
}
