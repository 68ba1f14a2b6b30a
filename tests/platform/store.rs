//! Tests of the store's client against the stand-in, directly and through another entry.

use {
    compio::{
        net::TcpListener,
        runtime::{Runtime, spawn},
    },
    limpetquay::{
        connection::{
            HttpClient, HttpHandler, HttpRequest, HttpResponse, HttpServer, Transfer, read_frame,
            write_frame,
        },
        platform::{
            LogStore,
            stand_in::{StandInStore, StoreFaults},
        },
        prelude::*,
        process::{
            clock::SystemClock,
            ledger::{Condition, Fence, KeyedPage, KeyedRecord, KeyedStore, StoreError},
            metrics::PlatformMetrics,
            relay::{RelayServer, RelayedStore, StoreCall, StoreReply},
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
        let store = RelayedStore::new(refused, testbed.clock.clone(), metrics, Rc::default());
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
        let store = RelayedStore::new(
            direct,
            unresponsive.clock.clone(),
            Rc::default(),
            Rc::default(),
        );
        store.set_peers(vec![peer]);
        let start = unresponsive.clock.now();
        let page = store.read("keyed.op", 0, Duration::from_millis(1000)).await;
        let elapsed = unresponsive.clock.now().since(start);
        assert_eq!(page.map(|p| p.records.len()), Ok(1));
        assert!(elapsed < Duration::from_millis(2500), "{elapsed:?}");
    });
}

/// Listens as another entry that takes one call, makes it at `store` and breaks the connection, or
/// keeps it open without an answer.
async fn start_broken_peer(
    store: Rc<dyn KeyedStore>,
    breaks_connection: bool,
) -> SocketAddr {
    let listener = TcpListener::bind(ANY_ADDRESS).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let serving = async move {
        let mut open = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let call: StoreCall = read_frame(&mut stream).await.expect("a call");
            let _ = call.run(&*store, &Transfer::default()).await;
            if !breaks_connection {
                open.push(stream);
            }
        }
    };
    spawn(serving).detach();
    address
}

async fn start_relay(testbed: &Testbed) -> SocketAddr {
    let any = ANY_ADDRESS.parse().expect("an address");
    let store = testbed.client(testbed.address);
    let relay = RelayServer::bind(any, store, testbed.clock.clone()).await;
    let relay = relay.expect("the relay is bound");
    let address = relay.local_addr().expect("an address");
    spawn(relay.run()).detach();
    address
}

/// Guards against a caller who is told that its job was not stored although it was: the store
/// refuses this entry, and the entry that was asked instead appends but does not answer.
#[test]
fn an_append_without_an_answer_from_another_entry_is_not_reported_as_refused() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let peer = start_broken_peer(testbed.client(testbed.address), false).await;
        let refused = testbed.client("127.0.0.1:1".parse().expect("an address"));
        let store = RelayedStore::new(refused, testbed.clock.clone(), Rc::default(), Rc::default());
        store.set_peers(vec![peer]);
        let record = [record("job", Some("1"))];
        let result = store.append("keyed.test", &record, Condition::Always).await;
        let stored = testbed.stand_in.model().borrow().bounds("keyed.test").0;
        assert!(
            matches!(result, Err(StoreError::Unknown(_))),
            "{stored} stored: {result:?}"
        );
    });
}

/// Guards against a claim that counts as lost although it took effect: the connection to the other
/// entry breaks after its append, and a second entry would report that the end has moved.
#[test]
fn a_conditional_append_is_not_made_again_after_a_broken_connection() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let broken = start_broken_peer(testbed.client(testbed.address), true).await;
        let working = start_relay(&testbed).await;
        let mut results = Vec::new();
        // The entry that is asked first varies.
        for _ in 0..4 {
            let end = testbed.stand_in.model().borrow().bounds("keyed.test").0;
            let store = RelayedStore::new(
                testbed.client("127.0.0.1:1".parse().expect("an address")),
                testbed.clock.clone(),
                Rc::default(),
                Rc::default(),
            );
            store.set_peers(vec![broken, working]);
            let record = [record("claim", Some("1"))];
            let appended = store.append("keyed.test", &record, Condition::EndsAt(end));
            results.push(appended.await);
        }
        let moved = results.iter().any(|r| r == &Err(StoreError::EndMoved));
        assert!(!moved, "{results:?}");
    });
}

/// Guards against a refusal that is reported while another entry still makes the same append: the
/// store refuses this entry late, after the call was sent to the other one as well.
#[test]
fn a_late_refusal_does_not_hide_an_append_through_another_entry() {
    Runtime::new().expect("a runtime").block_on(async {
        let (refusing, working) = (Testbed::start().await, Testbed::start().await);
        refusing.stand_in.set_faults(StoreFaults {
            refuses_calls: true,
            delay_ms: 600,
            ..StoreFaults::default()
        });
        let peer = start_broken_peer(working.client(working.address), false).await;
        let direct = refusing.client(refusing.address);
        let store = RelayedStore::new(direct, refusing.clock.clone(), Rc::default(), Rc::default());
        store.set_peers(vec![peer]);
        let record = [record("job", Some("1"))];
        let result = store.append("keyed.test", &record, Condition::Always).await;
        let stored = working.stand_in.model().borrow().bounds("keyed.test").0;
        assert!(
            matches!(result, Err(StoreError::Unknown(_))),
            "{stored} stored: {result:?}"
        );
    });
}

/// Answers with a page of the newest records that has none and says that there are more.
struct EmptyPage;

impl HttpHandler for EmptyPage {
    fn handle(
        self: Rc<Self>,
        _req: HttpRequest,
    ) -> LocalBoxFuture<'static, HttpResponse> {
        let body = serde_json::json!({"items": [], "HasMore": true, "EndOffset": 7});
        Box::pin(async move { HttpResponse::json(200, &body) })
    }

    fn max_body(
        &self,
        _path: &str,
    ) -> usize {
        0
    }
}

/// Guards against jobs and members that are taken for removed because the list of the newest records
/// was cut short.
#[test]
fn an_empty_page_does_not_end_a_list_that_has_more() {
    let newest = Runtime::new().expect("a runtime").block_on(async {
        let any = ANY_ADDRESS.parse().expect("an address");
        let server = HttpServer::bind(any, Rc::new(EmptyPage)).await;
        let server = server.expect("the server is bound");
        let address = server.local_addr().expect("an address");
        spawn(server.run(std::future::pending())).detach();
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let store = LogStore::new(HttpClient::new(clock), address);
        store.newest("keyed.limpetquay").await
    });
    assert!(
        matches!(newest, Err(StoreError::Malformed(_))),
        "{newest:?}"
    );
}

/// A ledger above the frame limit, and the entry that reads it through another one.
async fn start_with_large_ledger(testbed: &Testbed) -> RelayedStore {
    let value = "x".repeat(200_000);
    for i in 0..30 {
        let key = format!("job/{i:02}");
        let stored = testbed.stand_in.put("keyed.test", &key, value.as_bytes());
        stored.expect("a stored record");
    }
    let peer = start_relay(testbed).await;
    let refused = testbed.client("127.0.0.1:1".parse().expect("an address"));
    let store = RelayedStore::new(refused, testbed.clock.clone(), Rc::default(), Rc::default());
    store.set_peers(vec![peer]);
    store
}

/// Guards against an entry that never reads the ledger: it starts while it reaches the store only
/// through other entries, and the newest records are larger than a frame.
#[test]
fn a_ledger_above_the_frame_limit_is_read_through_another_entry() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let store = start_with_large_ledger(&testbed).await;
        let page = store.newest("keyed.test").await;
        let page = page.map(|p| {
            (
                p.records.len(),
                p.end,
                p.records.is_sorted_by_key(|r| r.offset),
            )
        });
        assert_eq!(page, Ok((30, 30, true)));
    });
}

/// Guards against an entry that stops following the ledger: what it has missed is larger than a
/// frame. It reads on where the first reply ends.
#[test]
fn a_read_above_the_frame_limit_goes_on_after_its_first_part() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let store = start_with_large_ledger(&testbed).await;
        let (mut from, mut offsets) = (0, Vec::new());
        while from < 30 {
            let page = store.read("keyed.test", from, Duration::ZERO).await;
            let page = page.expect("a page");
            offsets.extend(page.records.iter().map(|r| r.offset));
            from = page.end;
        }
        assert!(offsets.into_iter().eq(0..30));
    });
}

/// Guards against a reply that exceeds a frame whatever the store returns in one read: the rest is
/// read by the next call.
#[test]
fn a_reply_to_a_read_ends_before_the_frame_limit() {
    let value = "x".repeat(600_000);
    let records = (5..8).map(|offset| KeyedRecord {
        offset,
        ..record("a", Some(&value))
    });
    let page = KeyedPage {
        records: records.collect(),
        end: 8,
        has_more: false,
    };
    let call = StoreCall::Read {
        topic: "keyed.test".to_owned(),
        from: 5,
        wait_ms: 0,
        accepts_parts: false,
        max_bytes: None,
    };
    let frames = call.reply_frames(StoreReply::Page(Ok(page)));
    let ends = frames.iter().map(|frame| match frame {
        StoreReply::Page(Ok(page)) => (page.records.len(), page.end),
        other => panic!("a page is expected: {other:?}"),
    });
    assert_eq!(ends.collect::<Vec<_>>(), [(1, 6)]);
}

/// The calls and replies of entries of the previous version, which lack the last field.
#[derive(serde::Serialize)]
enum PreviousCall {
    Newest {
        topic: String,
    },
    #[expect(dead_code, reason = "it gives the next variant its number")]
    Read,
    Append {
        topic: String,
        records: Vec<KeyedRecord>,
        condition: Condition,
    },
}

/// Guards against a reply that an entry of the previous version cannot decode: it gets a whole list,
/// and a refusal in place of a rejection. Its own page is the last one.
#[test]
fn entries_of_the_previous_version_get_replies_that_they_know() {
    let call = |call: &PreviousCall| {
        let encoded = postcard::to_stdvec(call).expect("an encodable call");
        postcard::from_bytes::<StoreCall>(&encoded).expect("a call of the previous version")
    };
    let previous_page = postcard::to_stdvec(&(Vec::<KeyedRecord>::new(), 7_u64));
    let page: KeyedPage = postcard::from_bytes(&previous_page.expect("an encodable page"))
        .expect("a page of the previous version");
    assert!(page.end == 7 && !page.has_more);
    let topic = "keyed.test".to_owned();
    let newest = call(&PreviousCall::Newest {
        topic: topic.clone(),
    });
    assert!(matches!(
        newest,
        StoreCall::Newest {
            page_after: None,
            ..
        }
    ));
    let append = call(&PreviousCall::Append {
        topic,
        records: vec![],
        condition: Condition::Always,
    });
    let value = "x".repeat(2_000_000);
    let records = vec![record("a", Some(&value)), record("b", Some(&value))];
    let page = StoreReply::Page(Ok(KeyedPage {
        records,
        end: 2,
        has_more: false,
    }));
    let frames = newest.reply_frames(page);
    let rejected = StoreReply::Appended(Err(StoreError::Rejected("too large".to_owned())));
    let refused = append.reply_frames(rejected);
    assert!(matches!(&frames[..], [StoreReply::Page(Ok(page))] if page.records.len() == 2));
    let is_refused = |frame: &StoreReply| matches!(frame.error(), Some(StoreError::Refused(_)));
    assert!(
        matches!(&refused[..], [frame] if is_refused(frame)),
        "{refused:?}"
    );
}

/// Guards against jobs that are taken for removed: an entry of the previous version sends a list in the order
/// of the offsets, so that a part of it does not show which keys are missing.
#[test]
fn a_part_of_a_list_of_the_previous_version_is_not_used() {
    #[derive(serde::Serialize)]
    enum PreviousReply {
        #[expect(dead_code, reason = "it gives the last variant its number")]
        Page,
        #[expect(dead_code, reason = "it gives the last variant its number")]
        Appended,
        Part(Vec<KeyedRecord>, u64),
    }
    let result = Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let listener = TcpListener::bind(ANY_ADDRESS).await.expect("a listener");
        let peer = listener.local_addr().expect("an address");
        let serving = async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let _: StoreCall = read_frame(&mut stream).await.expect("a call");
                let part = PreviousReply::Part(vec![record("job/2", Some("1"))], 2);
                write_frame(&mut stream, &part).await.expect("a part");
            }
        };
        spawn(serving).detach();
        let refused = testbed.client("127.0.0.1:1".parse().expect("an address"));
        let store = RelayedStore::new(refused, testbed.clock.clone(), Rc::default(), Rc::default());
        store.set_peers(vec![peer]);
        store
            .newest_page("keyed.test", None, &Transfer::default())
            .await
    });
    assert!(result.is_err(), "{result:?}");
}

/// The stand-in enforces the limits of the store, so that tests against it find what the store would
/// not accept: the size of a record and of an append, and the calls in each second.
#[test]
fn the_stand_in_enforces_the_limits_of_the_store() {
    Runtime::new().expect("a runtime").block_on(async {
        let testbed = Testbed::start().await;
        let store = testbed.client(testbed.address);
        let append = async |records: Vec<KeyedRecord>| {
            let result = store
                .append("keyed.test", &records, Condition::Always)
                .await;
            result.map_err(|e| matches!(e, StoreError::Rejected(_)))
        };
        let of_size = |size: usize| record("k", Some(&"x".repeat(size - 2)));
        let many = |last: usize| {
            let mut records = vec![of_size(262_144); 7];
            records.push(of_size(last));
            records
        };
        let room = 2_097_152 - 7 * (262_144 + 4) - 4;
        let results = [
            append(vec![of_size(262_144)]).await,
            append(vec![of_size(262_145)]).await,
            append(many(room)).await,
            append(many(room + 1)).await,
        ];
        assert_eq!(results, [Ok(0), Err(true), Ok(1), Err(true)]);
        testbed.stand_in.model().borrow_mut().limits.writes_per_s = Some(0);
        let over_rate = append(vec![of_size(10)]).await;
        assert_eq!(over_rate, Err(false));
    });
}
