//! Reads of the store whose answers take longer on the link than any time limit.

use {
    super::faulty_link::FaultyLink,
    compio::runtime::{JoinHandle, Runtime, spawn},
    limpetquay::{
        connection::{HttpClient, HttpServer},
        platform::{LogStore, follow_config, stand_in::StandInStore},
        prelude::*,
        process::{
            clock::{SystemClock, with_timeout},
            config_view::ConfigView,
            ledger::{KeyedPage, KeyedStore, Ledger, StoreError},
            metrics::PlatformMetrics,
            relay::{RelayServer, RelayedStore},
        },
    },
};

const TOPIC: &str = "keyed.limpetquay";
const CONFIG_TOPIC: &str = "keyed.op";
const RECORD_BYTES: usize = 200_000;

/// A link on which one record takes longer than the time that a call may have no answer.
const SLOW: usize = 160_000;

/// The time after which a test gives up waiting.
const PATIENCE: Duration = Duration::from_secs(40);

struct Testbed {
    clock: Rc<dyn Clock>,
    stand_in: Rc<StandInStore>,
    store_address: SocketAddr,
    _server: JoinHandle<()>,
}

impl Testbed {
    async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let stand_in = Rc::new(StandInStore::new(clock.clone()));
        let server = HttpServer::bind(any_address(), stand_in.clone()).await;
        let server = server.expect("the stand-in is bound");
        Self {
            clock,
            stand_in,
            store_address: server.local_addr().expect("an address"),
            _server: spawn(server.run(std::future::pending())),
        }
    }

    /// Returns a client of the store at an address, which may be that of a link.
    fn client(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn KeyedStore> {
        Rc::new(LogStore::new(HttpClient::new(self.clock.clone()), address))
    }

    /// Returns a store that is called directly at `address`, or through another entry.
    fn relayed(
        &self,
        address: SocketAddr,
        peer: SocketAddr,
    ) -> Rc<dyn KeyedStore> {
        let store = RelayedStore::new(
            self.client(address),
            self.clock.clone(),
            Rc::new(PlatformMetrics::default()),
            Rc::default(),
        );
        store.set_peers(vec![peer]);
        Rc::new(store)
    }

    /// Starts the server of another entry, which calls the store at `address`.
    async fn start_relay(
        &self,
        address: SocketAddr,
    ) -> (SocketAddr, JoinHandle<()>) {
        let relay = RelayServer::bind(any_address(), self.client(address), self.clock.clone());
        let relay = relay.await.expect("the relay is bound");
        let address = relay.local_addr().expect("an address");
        (address, spawn(relay.run()))
    }

    fn put_records(
        &self,
        keys: std::ops::Range<usize>,
        bytes: usize,
    ) {
        for key in keys {
            let value = vec![7; bytes];
            let stored = self.stand_in.put(TOPIC, &format!("{key:03}"), &value);
            stored.expect("the store accepts the record");
        }
    }

    fn put_config(
        &self,
        version: u64,
    ) {
        let padding = "x".repeat(RECORD_BYTES);
        let config = format!(r#"{{"Version":{version},"Padding":"{padding}"}}"#);
        let stored = self.stand_in.put(CONFIG_TOPIC, "config", config.as_bytes());
        stored.expect("the store accepts the configuration");
    }

    /// Reads from an offset as a follower does, which tries again after an error, until `end`.
    async fn read_until(
        &self,
        store: &dyn KeyedStore,
        end: u64,
    ) -> Option<u64> {
        let reading = async {
            let mut from = 0;
            while from < end {
                match store.read(TOPIC, from, Duration::ZERO).await {
                    Ok(page) => from = page.end,
                    Err(_) => self.clock.sleep(Duration::from_millis(100)).await,
                }
            }
            from
        };
        with_timeout(&*self.clock, PATIENCE, reading).await
    }
}

fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Returns an address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind(any_address()).expect("a listener");
    listener.local_addr().expect("an address")
}

fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    Runtime::new().expect("a runtime").block_on(test)
}

fn sizes(page: Result<KeyedPage, StoreError>) -> Result<Vec<usize>, StoreError> {
    let sizes =
        |r: &limpetquay::process::ledger::KeyedRecord| r.value.as_ref().map_or(0, Bytes::len);
    page.map(|p| p.records.iter().map(sizes).collect())
}

/// Guards against a read with a time limit for its whole answer, which never ends on such a link.
#[test]
fn a_record_that_takes_longer_than_a_time_limit_is_read() {
    let results = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..1, RECORD_BYTES);
        let link = FaultyLink::start(testbed.store_address).await;
        link.set_speed(SLOW);
        let store = testbed.client(link.address());
        let read = store.read(TOPIC, 0, Duration::ZERO).await;
        (sizes(read), sizes(store.newest(TOPIC).await))
    });
    assert_eq!(results, (Ok(vec![RECORD_BYTES]), Ok(vec![RECORD_BYTES])));
}

/// Guards against a follower that never catches up because each attempt starts from the first byte.
#[test]
fn a_follower_catches_up_over_a_slow_link() {
    let end = run(async {
        let testbed = Testbed::start().await;
        let link = FaultyLink::start(testbed.store_address).await;
        link.set_speed(SLOW);
        let store = testbed.relayed(link.address(), closed_address());
        let ledger = Rc::new(Ledger::new(store, testbed.clock.clone()));
        let follower = ledger.clone();
        let _following = spawn(async move { follower.follow().await });
        ledger.wait_until_read().await;
        testbed.put_records(0..5, RECORD_BYTES);
        let caught_up = ledger.wait_for_offset(5);
        let caught_up = with_timeout(&*testbed.clock, PATIENCE, caught_up).await;
        caught_up.map(|()| ledger.view(|f| f.next_offset))
    });
    assert_eq!(end, Some(5));
}

/// Guards against a second copy of an answer on the same link while the first one arrives.
#[test]
fn no_other_entry_is_asked_while_an_answer_arrives() {
    let (result, asked) = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..1, RECORD_BYTES);
        let link = FaultyLink::start(testbed.store_address).await;
        link.set_speed(SLOW);
        let (relay, _relaying) = testbed.start_relay(testbed.store_address).await;
        let to_relay = FaultyLink::start(relay).await;
        let store = testbed.relayed(link.address(), to_relay.address());
        let read = store.read(TOPIC, 0, Duration::ZERO).await;
        (sizes(read), to_relay.accepted())
    });
    assert_eq!((result, asked), (Ok(vec![RECORD_BYTES]), 0));
}

/// Guards against a second copy of an answer on the same link when another entry has announced the end
/// of the topic, while the waiting read receives the records before it.
#[test]
fn a_hint_starts_no_second_read_while_an_answer_arrives() {
    let answer_bytes = run(async {
        let testbed = Testbed::start().await;
        let link = FaultyLink::start(testbed.store_address).await;
        link.set_speed(SLOW);
        let ledger = Rc::new(Ledger::new(
            testbed.client(link.address()),
            testbed.clock.clone(),
        ));
        let follower = ledger.clone();
        let _following = spawn(async move { follower.follow().await });
        ledger.wait_until_read().await;
        testbed.put_records(0..1, RECORD_BYTES);
        ledger.note_end(1);
        let caught_up = ledger.wait_for_offset(1);
        with_timeout(&*testbed.clock, PATIENCE, caught_up).await;
        link.answer_bytes()
    });
    let most = RECORD_BYTES * 3 / 2;
    assert!(
        (RECORD_BYTES..most).contains(&answer_bytes),
        "{answer_bytes}"
    );
}

/// Guards against losing the records that arrived before a connection broke.
#[test]
fn a_broken_connection_keeps_the_records_before() {
    let end = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..5, RECORD_BYTES);
        let link = FaultyLink::start(testbed.store_address).await;
        link.cut_connections_after(3 * RECORD_BYTES / 2);
        let store = testbed.client(link.address());
        testbed.read_until(&*store, 5).await
    });
    assert_eq!(end, Some(5));
}

/// Guards against a time limit for a relayed answer, on the link to the other entry.
#[test]
fn a_follower_catches_up_through_another_entry_over_a_slow_link() {
    let end = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..5, RECORD_BYTES);
        let (relay, _relaying) = testbed.start_relay(testbed.store_address).await;
        let link = FaultyLink::start(relay).await;
        link.set_speed(SLOW);
        let store = testbed.relayed(closed_address(), link.address());
        testbed.read_until(&*store, 5).await
    });
    assert_eq!(end, Some(5));
}

/// Guards against a time limit for a relayed answer, on the other entry's link to the store.
#[test]
fn a_follower_catches_up_through_an_entry_with_a_slow_link() {
    let end = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..5, RECORD_BYTES);
        let link = FaultyLink::start(testbed.store_address).await;
        link.set_speed(SLOW);
        let (relay, _relaying) = testbed.start_relay(link.address()).await;
        let store = testbed.relayed(closed_address(), relay);
        testbed.read_until(&*store, 5).await
    });
    assert_eq!(end, Some(5));
}

/// Guards against a relayed answer of which nothing is kept when its connection breaks.
#[test]
fn a_broken_connection_to_another_entry_keeps_the_records_before() {
    let end = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..5, RECORD_BYTES);
        let (relay, _relaying) = testbed.start_relay(testbed.store_address).await;
        let link = FaultyLink::start(relay).await;
        link.cut_connections_after(3 * RECORD_BYTES / 2);
        let store = testbed.relayed(closed_address(), link.address());
        testbed.read_until(&*store, 5).await
    });
    assert_eq!(end, Some(5));
}

/// Guards against a list that starts over after each failure and so never ends, directly and through
/// another entry.
#[test]
fn a_list_of_several_pages_is_read_over_connections_that_break() {
    let is_read = run(async {
        let testbed = Testbed::start().await;
        testbed.put_records(0..20, RECORD_BYTES);
        let link = FaultyLink::start(testbed.store_address).await;
        link.cut_connections_after(2_000_000);
        let (relay, _relaying) = testbed.start_relay(testbed.store_address).await;
        let to_relay = FaultyLink::start(relay).await;
        to_relay.cut_connections_after(2_000_000);
        let direct = testbed.client(link.address());
        let relayed = testbed.relayed(closed_address(), to_relay.address());
        let mut is_read = Vec::new();
        for store in [direct, relayed] {
            let ledger = Rc::new(Ledger::new(store, testbed.clock.clone()));
            let follower = ledger.clone();
            let _following = spawn(async move { follower.follow().await });
            let first_read = with_timeout(&*testbed.clock, PATIENCE / 4, ledger.wait_until_read());
            is_read.push(first_read.await.is_some());
        }
        is_read
    });
    assert_eq!(is_read, [true, true]);
}

/// Guards against a view that falls behind because each version is read, also those that newer ones
/// have replaced.
#[test]
fn superseded_versions_of_the_configuration_are_not_read() {
    let (version, answer_bytes) = run(async {
        let testbed = Testbed::start().await;
        testbed.put_config(1);
        let link = FaultyLink::start(testbed.store_address).await;
        let view = Rc::<ConfigView>::default();
        let store = testbed.client(link.address());
        let following = follow_config(store, testbed.clock.clone(), view.clone(), Rc::default());
        let _following = spawn(following);
        let reaches = async |version: u64| {
            while view.table().map(|t| t.version) != Some(version) {
                testbed.clock.sleep(Duration::from_millis(20)).await;
            }
        };
        reaches(1).await;
        let before = link.answer_bytes();
        (2..=21).for_each(|version| testbed.put_config(version));
        with_timeout(&*testbed.clock, PATIENCE, reaches(21)).await;
        let answer_bytes = link.answer_bytes() - before;
        (view.table().map(|t| t.version), answer_bytes)
    });
    assert_eq!(version, Some(21));
    assert!(
        answer_bytes < 5 * RECORD_BYTES,
        "{answer_bytes} bytes were read for 20 versions of {RECORD_BYTES} bytes"
    );
}

/// Guards against a version that stays hidden because a newer one, which has replaced it in the list, is
/// malformed.
#[test]
fn a_skipped_version_counts_if_the_newest_one_is_malformed() {
    let version = run(async {
        let testbed = Testbed::start().await;
        testbed.put_config(1);
        let view = Rc::<ConfigView>::default();
        let store = testbed.client(testbed.store_address);
        let following = follow_config(store, testbed.clock.clone(), view.clone(), Rc::default());
        let _following = spawn(following);
        while view.table().is_none() {
            testbed.clock.sleep(Duration::from_millis(20)).await;
        }
        (2..=4).for_each(|version| testbed.put_config(version));
        let stored = testbed
            .stand_in
            .put(CONFIG_TOPIC, "config", b"{\"Version\":");
        stored.expect("the store accepts the record");
        testbed.clock.sleep(Duration::from_millis(500)).await;
        view.table().map(|t| t.version)
    });
    assert_eq!(version, Some(4));
}
