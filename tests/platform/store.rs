//! Tests of the store's client against the stand-in, directly and through another entry.

use {
    compio::runtime::Runtime,
    limpetquay::{
        connection::{HttpClient, HttpServer},
        platform::{
            LogStore,
            stand_in::{StandInStore, StoreFaults},
        },
        prelude::*,
        process::{
            clock::SystemClock,
            ledger::{Condition, Fence, KeyedRecord, KeyedStore},
            metrics::PlatformMetrics,
            relay::{RelayServer, RelayedStore},
        },
    },
};

const ANY_ADDRESS: &str = "127.0.0.1:0";

struct Testbed {
    clock: Rc<dyn Clock>,
    stand_in: Rc<StandInStore>,
    address: SocketAddr,
}

impl Testbed {
    async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let stand_in = Rc::new(StandInStore::new(clock.clone()));
        let server =
            HttpServer::bind(ANY_ADDRESS.parse().expect("an address"), stand_in.clone()).await;
        let server = server.expect("the stand-in is bound");
        let address = server.local_addr().expect("an address");
        compio::runtime::spawn(server.run(std::future::pending())).detach();
        Self {
            clock,
            stand_in,
            address,
        }
    }

    fn client(
        &self,
        address: SocketAddr,
    ) -> Rc<dyn KeyedStore> {
        Rc::new(LogStore::new(HttpClient::new(self.clock.clone()), address))
    }
}

fn record(
    key: &str,
    value: Option<&str>,
) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: value.map(|v| Bytes::copy_from_slice(v.as_bytes())),
        offset: 0,
    }
}

fn fenced(
    epoch: u64,
    sequence: u64,
) -> Condition {
    Condition::Fenced(Fence { epoch, sequence })
}

#[test]
fn appends_reads_and_fences() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let store = testbed.client(testbed.address);
        let topic = "keyed.test";
        let two = [record("a", Some("1")), record("b", Some("2"))];
        let mut results = Vec::new();
        results.push(format!(
            "{:?}",
            store.append(topic, &two, Condition::Always).await
        ));
        results.push(format!(
            "{:?}",
            store
                .append(topic, &[record("a", None)], Condition::EndsAt(2))
                .await
        ));
        results.push(format!(
            "{:?}",
            store.append(topic, &two, Condition::EndsAt(2)).await
        ));
        results.push(format!(
            "{:?}",
            store
                .append(topic, &[record("c", Some("3"))], fenced(5, 1))
                .await
        ));
        results.push(format!(
            "{:?}",
            store
                .append(topic, &[record("c", Some("3"))], fenced(5, 1))
                .await
        ));
        results.push(format!(
            "{:?}",
            store.append(topic, &two, fenced(5, 7)).await
        ));
        results.push(format!(
            "{:?}",
            store.append(topic, &two, fenced(4, 1)).await
        ));
        results.push(format!("{:?}", store.newest(topic).await));
        results.push(format!("{:?}", store.read(topic, 2, Duration::ZERO).await));
        testbed.stand_in.model().borrow_mut().trim_history();
        results.push(format!("{:?}", store.read(topic, 2, Duration::ZERO).await));
        testbed.stand_in.set_faults(StoreFaults {
            refuses_calls: true,
            ..StoreFaults::default()
        });
        results.push(format!(
            "{:?}",
            store.append(topic, &two, Condition::Always).await
        ));
        testbed.stand_in.set_faults(StoreFaults {
            drops_answers: true,
            ..StoreFaults::default()
        });
        results.push(format!(
            "{:?}",
            store
                .append(topic, &[record("d", Some("4"))], Condition::Always)
                .await
        ));
        testbed.stand_in.set_faults(StoreFaults::default());
        results.push(format!("{:?}", store.newest(topic).await.map(|p| p.end)));
        insta::assert_debug_snapshot!(results);
    });
}

/// While the store refuses one entry, another entry appends and reads on its behalf.
#[test]
fn a_refused_entry_goes_through_another() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let working = testbed.client(testbed.address);
        let relay = RelayServer::bind(
            ANY_ADDRESS.parse().expect("an address"),
            working,
            testbed.clock.clone(),
        )
        .await;
        let relay = relay.expect("the relay is bound");
        let peer = relay.local_addr().expect("an address");
        compio::runtime::spawn(relay.run()).detach();
        // Nothing listens at the address that the refused entry has for the store.
        let refused = testbed.client("127.0.0.1:1".parse().expect("an address"));
        let metrics = Rc::new(PlatformMetrics::default());
        let store = RelayedStore::new(refused, testbed.clock.clone(), metrics);
        let unrelayed = store
            .append("keyed.test", &[record("a", Some("1"))], Condition::Always)
            .await;
        store.set_peers(vec![peer]);
        let appended = store
            .append("keyed.test", &[record("a", Some("1"))], Condition::Always)
            .await;
        let read = store.read("keyed.test", 0, Duration::ZERO).await;
        insta::assert_debug_snapshot!((unrelayed.is_err(), appended, read));
    });
}

/// If the store does not answer an entry's reads, the entry must still read a change through
/// another entry within 2.5 s, the time limit for a configuration to take effect.
#[test]
fn an_unresponsive_store_is_read_through_another_entry_in_time() {
    Runtime::new().expect("a runtime").block_on(async {
        let (unresponsive, working) = (Testbed::start().await, Testbed::start().await);
        unresponsive.stand_in.set_faults(StoreFaults {
            delay_ms: 60_000,
            ..StoreFaults::default()
        });
        working
            .stand_in
            .put("keyed.op", "config", b"new")
            .expect("the operator writes");
        let any = ANY_ADDRESS.parse().expect("an address");
        let store = working.client(working.address);
        let relay = RelayServer::bind(any, store, working.clock.clone()).await;
        let relay = relay.expect("the relay is bound");
        let peer = relay.local_addr().expect("an address");
        compio::runtime::spawn(relay.run()).detach();
        let direct = unresponsive.client(unresponsive.address);
        let store = RelayedStore::new(direct, unresponsive.clock.clone(), Rc::default());
        store.set_peers(vec![peer]);
        let start = unresponsive.clock.now();
        let page = store.read("keyed.op", 0, Duration::from_millis(1000)).await;
        let elapsed = unresponsive.clock.now().since(start);
        assert_eq!(page.map(|p| p.records.len()), Ok(1));
        assert!(elapsed < Duration::from_millis(2500), "{elapsed:?}");
    });
}
