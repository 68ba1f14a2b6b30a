//! Reading of new records while the reads that wait for them hear nothing, in virtual time.

use {
    super::fake_store::{FakeStore, SharedStore},
    compio::runtime::spawn,
    futures_util::future::{pending, ready},
    limpetquay::{
        connection::Transfer,
        prelude::*,
        process::{
            clock::VirtualClock,
            ledger::{
                Condition, EndHint, KeyedPage, KeyedRecord, KeyedStore, LeaderRecord, Ledger,
                LedgerKey, LedgerRecord, Member, MemberRole, ReadRange, StoreError,
                receive_end_hints, send_end_hints,
            },
            membership::{DatagramLink, ReceivedDatagram},
        },
    },
    std::cell::Cell,
};

/// How long a waiting read hears nothing before it fails.
const DEAF_READ: Duration = Duration::from_millis(1700);

/// The time within which a record is read once its end is noted: the delay before the second read,
/// its round trip and slack.
const CATCH_UP: Duration = Duration::from_millis(200);

/// A store whose waiting reads hear nothing of records that are stored after they were sent.
struct DeafStore {
    inner: Rc<FakeStore>,
    plain_reads: Cell<u32>,
}

impl KeyedStore for DeafStore {
    fn newest_page<'a>(
        &'a self,
        topic: &'a str,
        after: Option<&'a str>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        self.inner.newest_page(topic, after, transfer)
    }

    fn read_page<'a>(
        &'a self,
        range: ReadRange<'a>,
        transfer: &'a Transfer<'a>,
    ) -> LocalBoxFuture<'a, Result<KeyedPage, StoreError>> {
        Box::pin(async move {
            if !range.wait.is_zero() {
                let now = ReadRange {
                    wait: Duration::ZERO,
                    ..range
                };
                let page = self.inner.read_page(now, transfer).await?;
                if !page.records.is_empty() {
                    return Ok(page);
                }
                self.inner.clock.sleep(DEAF_READ).await;
                return Err(StoreError::Unknown("no answer".to_owned()));
            }
            self.plain_reads.set(self.plain_reads.get() + 1);
            self.inner.read_page(range, transfer).await
        })
    }

    fn append<'a>(
        &'a self,
        topic: &'a str,
        records: &'a [KeyedRecord],
        condition: Condition,
    ) -> LocalBoxFuture<'a, Result<u64, StoreError>> {
        self.inner.append(topic, records, condition)
    }
}

/// A link that keeps what is sent and delivers what the test puts in.
#[derive(Default)]
struct FakeLink {
    sent: RefCell<Vec<(SocketAddr, EndHint)>>,
    incoming: RefCell<Vec<Vec<u8>>>,
}

impl DatagramLink for FakeLink {
    fn address(&self) -> SocketAddr {
        address(1)
    }

    fn send(
        &self,
        to: SocketAddr,
        content: Vec<u8>,
    ) -> LocalBoxFuture<'_, ()> {
        let hint = postcard::from_bytes(&content).expect("a hint");
        self.sent.borrow_mut().push((to, hint));
        Box::pin(ready(()))
    }

    fn receive(&self) -> LocalBoxFuture<'_, ReceivedDatagram> {
        match self.incoming.borrow_mut().pop() {
            Some(content) => Box::pin(ready(ReceivedDatagram {
                from: address(2),
                content,
            })),
            None => Box::pin(pending()),
        }
    }
}

/// A ledger that follows a store whose waiting reads are deaf, and another one that stores records.
struct Setup {
    clock: Rc<dyn Clock>,
    store: Rc<DeafStore>,
    ledger: Rc<Ledger>,
    other: Rc<Ledger>,
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

async fn start(clock: Rc<dyn Clock>) -> Setup {
    let shared = Rc::new(SharedStore::default());
    let latency = Duration::from_millis(5);
    let path = || FakeStore::new(shared.clone(), clock.clone(), latency);
    let store = Rc::new(DeafStore {
        inner: path(),
        plain_reads: Cell::default(),
    });
    let ledger = Rc::new(Ledger::new(store.clone(), clock.clone()));
    let other = Rc::new(Ledger::new(path(), clock.clone()));
    let follower = ledger.clone();
    spawn(async move { follower.follow().await }).detach();
    ledger.wait_until_read().await;
    Setup {
        clock,
        store,
        ledger,
        other,
    }
}

/// Stores a record and returns the offset after it.
async fn store_record(ledger: &Ledger) -> u64 {
    let key = LedgerKey::parse("cancel/00000000000000aa").expect("a key");
    let record = LedgerRecord::Cancel(1);
    let offset = ledger.put(&key, &record, Condition::Always).await;
    offset.expect("a stored record") + 1
}

/// Runs a test in virtual time.
fn run<F, T>(test: T)
where
    F: Future<Output = ()> + 'static,
    T: FnOnce(Setup) -> F + 'static,
{
    let clock = VirtualClock::new();
    let shared_clock: Rc<dyn Clock> = clock.clone();
    clock.block_on(async move { test(start(shared_clock).await).await });
}

fn next_offset(ledger: &Ledger) -> u64 {
    ledger.view(|f| f.next_offset)
}

/// Guards against a leader that learns of its own and others' records only when a read that hears
/// nothing has failed. Without a hint that delay stays.
#[test]
fn a_record_is_read_soon_after_its_end_is_noted() {
    run(|s| async move {
        let end = store_record(&s.ledger).await;
        s.clock.sleep(CATCH_UP).await;
        assert_eq!(next_offset(&s.ledger), end, "its own record");

        let end = store_record(&s.other).await;
        s.ledger.note_end(end);
        s.clock.sleep(CATCH_UP).await;
        assert_eq!(next_offset(&s.ledger), end, "a hint of another entry");

        let lost = store_record(&s.other).await;
        s.clock.sleep(CATCH_UP).await;
        assert_eq!(next_offset(&s.ledger), end, "the hint is lost");
        s.clock.sleep(DEAF_READ + DEAF_READ).await;
        assert_eq!(
            next_offset(&s.ledger),
            lost,
            "read after the waiting read has failed"
        );
    });
}

/// Guards against hints that make a process read without end, or that hide later records.
#[test]
fn late_and_false_hints_cost_one_read_at_most() {
    run(|s| async move {
        let end = store_record(&s.ledger).await;
        s.clock.sleep(CATCH_UP).await;
        let reads = s.store.plain_reads.get();
        s.ledger.note_end(end);
        s.ledger.note_end(end - 1);
        s.clock.sleep(CATCH_UP).await;
        assert_eq!(s.store.plain_reads.get(), reads, "late and repeated hints");

        s.ledger.note_end(end + 1000);
        s.clock.sleep(CATCH_UP * 4).await;
        assert_eq!(s.store.plain_reads.get(), reads + 1, "a false hint");

        let end = store_record(&s.ledger).await;
        s.clock.sleep(CATCH_UP).await;
        assert_eq!(next_offset(&s.ledger), end, "a record after a false hint");
    });
}

/// Guards against hints that do not reach the leader, and malformed ones that end the receiver.
#[test]
fn an_entry_tells_the_leader_what_it_has_stored() {
    run(|s| async move {
        for name in ["leader", "own"] {
            let member = Member {
                name: name.into(),
                role: MemberRole::Entry,
                address: address(if name == "own" { 11 } else { 12 }),
                registration: 1,
                job_bytes: None,
            };
            let key = LedgerKey::Member(name.into());
            let record = LedgerRecord::Member(member);
            let stored = s.ledger.put(&key, &record, Condition::Always);
            stored.await.expect("a stored record");
        }
        let leader = LedgerRecord::Leader(LeaderRecord {
            entry: EntryName::from("leader"),
            boot: 1,
            term: Some(1),
            resigned: false,
            nonce: 1,
        });
        let stored = s.ledger.put(&LedgerKey::Leader, &leader, Condition::Always);
        stored.await.expect("a stored record");
        s.clock.sleep(CATCH_UP).await;
        let link = Rc::new(FakeLink::default());
        let _sender = spawn(send_end_hints(
            s.ledger.clone(),
            s.clock.clone(),
            link.clone(),
            "own".into(),
        ));
        let at_leader = Rc::new(FakeLink::default());
        let _leader = spawn(send_end_hints(
            s.ledger.clone(),
            s.clock.clone(),
            at_leader.clone(),
            "leader".into(),
        ));
        let end = store_record(&s.ledger).await;
        s.clock.sleep(CATCH_UP).await;
        let sent = link.sent.borrow().last().copied();
        assert_eq!(sent, Some((address(12), EndHint { end })));
        assert!(
            at_leader.sent.borrow().is_empty(),
            "the leader sends no hints to itself"
        );

        let hint = postcard::to_stdvec(&EndHint { end: end + 5 }).expect("a hint");
        *link.incoming.borrow_mut() = vec![hint, vec![0xff; 40], Vec::new()];
        let reads = s.store.plain_reads.get();
        let _receiver = spawn(receive_end_hints(s.ledger.clone(), link));
        s.clock.sleep(CATCH_UP).await;
        assert_eq!(
            s.store.plain_reads.get(),
            reads + 1,
            "the hint after malformed ones"
        );
    });
}
