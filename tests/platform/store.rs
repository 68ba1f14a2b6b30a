//! The store's client against the stand-in, directly and through another entry.

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
            metrics::FleetMetrics,
            relay::{RelayServer, RelayedStore},
        },
    },
};

const ANY: &str = "127.0.0.1:0";

struct Bed {
    clock: Rc<dyn Clock>,
    stand_in: Rc<StandInStore>,
    address: SocketAddr,
}

impl Bed {
    async fn start() -> Self {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let stand_in = Rc::new(StandInStore::new(clock.clone()));
        let server = HttpServer::bind(ANY.parse().expect("an address"), stand_in.clone()).await;
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
        let bed = Bed::start().await;
        let store = bed.client(bed.address);
        let topic = "keyed.test";
        let two = [record("a", Some("1")), record("b", Some("2"))];
        let mut seen = Vec::new();
        seen.push(format!(
            "{:?}",
            store.append(topic, &two, Condition::Always).await
        ));
        seen.push(format!(
            "{:?}",
            store
                .append(topic, &[record("a", None)], Condition::EndsAt(2))
                .await
        ));
        seen.push(format!(
            "{:?}",
            store.append(topic, &two, Condition::EndsAt(2)).await
        ));
        seen.push(format!(
            "{:?}",
            store
                .append(topic, &[record("c", Some("3"))], fenced(5, 1))
                .await
        ));
        seen.push(format!(
            "{:?}",
            store
                .append(topic, &[record("c", Some("3"))], fenced(5, 1))
                .await
        ));
        seen.push(format!(
            "{:?}",
            store.append(topic, &two, fenced(5, 7)).await
        ));
        seen.push(format!(
            "{:?}",
            store.append(topic, &two, fenced(4, 1)).await
        ));
        seen.push(format!("{:?}", store.newest(topic).await));
        seen.push(format!("{:?}", store.read(topic, 2, Duration::ZERO).await));
        bed.stand_in.model().borrow_mut().forget_history();
        seen.push(format!("{:?}", store.read(topic, 2, Duration::ZERO).await));
        bed.stand_in.set_faults(StoreFaults {
            refuses: true,
            ..StoreFaults::default()
        });
        seen.push(format!(
            "{:?}",
            store.append(topic, &two, Condition::Always).await
        ));
        bed.stand_in.set_faults(StoreFaults {
            loses_answers: true,
            ..StoreFaults::default()
        });
        seen.push(format!(
            "{:?}",
            store
                .append(topic, &[record("d", Some("4"))], Condition::Always)
                .await
        ));
        bed.stand_in.set_faults(StoreFaults::default());
        seen.push(format!("{:?}", store.newest(topic).await.map(|p| p.end)));
        insta::assert_debug_snapshot!(seen);
    });
}

/// While the store refuses one entry, another one appends and reads for it.
#[test]
fn a_refused_entry_goes_through_another() {
    Runtime::new().expect("a runtime").block_on(async {
        let bed = Bed::start().await;
        let working = bed.client(bed.address);
        let relay =
            RelayServer::bind(ANY.parse().expect("an address"), working, bed.clock.clone()).await;
        let relay = relay.expect("the relay is bound");
        let peer = relay.local_addr().expect("an address");
        compio::runtime::spawn(relay.run()).detach();
        // Nothing listens at the address by which the refused entry knows the store.
        let refused = bed.client("127.0.0.1:1".parse().expect("an address"));
        let metrics = Rc::new(FleetMetrics::default());
        let store = RelayedStore::new(refused, bed.clock.clone(), metrics);
        let alone = store
            .append("keyed.test", &[record("a", Some("1"))], Condition::Always)
            .await;
        store.set_peers(vec![peer]);
        let appended = store
            .append("keyed.test", &[record("a", Some("1"))], Condition::Always)
            .await;
        let read = store.read("keyed.test", 0, Duration::ZERO).await;
        insta::assert_debug_snapshot!((alone.is_err(), appended, read));
    });
}

/// A change that the store does not tell this entry of, because its reads stay unanswered, is known
/// within the 2.5 s in which configurations come into force.
#[test]
fn a_silent_store_is_read_through_another_entry_in_time() {
    Runtime::new().expect("a runtime").block_on(async {
        let (silent, working) = (Bed::start().await, Bed::start().await);
        silent.stand_in.set_faults(StoreFaults {
            delay_ms: 60_000,
            ..StoreFaults::default()
        });
        working
            .stand_in
            .put("keyed.op", "config", b"new")
            .expect("the operator writes");
        let any = ANY.parse().expect("an address");
        let store = working.client(working.address);
        let relay = RelayServer::bind(any, store, working.clock.clone()).await;
        let relay = relay.expect("the relay is bound");
        let peer = relay.local_addr().expect("an address");
        compio::runtime::spawn(relay.run()).detach();
        let direct = silent.client(silent.address);
        let store = RelayedStore::new(direct, silent.clock.clone(), Rc::default());
        store.set_peers(vec![peer]);
        let start = silent.clock.now();
        let page = store.read("keyed.op", 0, Duration::from_millis(1000)).await;
        let took = silent.clock.now().since(start);
        assert_eq!(page.map(|p| p.records.len()), Ok(1));
        assert!(took < Duration::from_millis(2500), "{took:?}");
    });
}
