//! The sessions of a leader with guards: a real term over a store in memory, and a stand-in guard on
//! a socket.

use {
    super::{
        fake_store::{FakeStore, SharedStore},
        one_guard::tracker,
    },
    compio::{
        io::AsyncWriteExt,
        net::TcpListener,
        runtime::{Runtime, spawn},
    },
    limpetquay::{
        connection::{GuardOrders, read_frame, write_frame},
        prelude::*,
        process::{
            clock::{SystemClock, with_timeout},
            ledger::{
                CandidateMachine, Condition, KeyedRecord, LeaderElection, Ledger, LedgerKey,
                LedgerRecord, Member, MemberRole,
            },
            metrics::PlatformMetrics,
            scheduler::{
                DEFAULT_RECLAIM_TIME, LeaseTerms, RackFirstPlacement, Scheduler, SchedulerContext,
                run_scheduler,
            },
        },
    },
    std::collections::BTreeSet,
};

const LEASES_MS: u64 = 6000;
const TIMEOUT: Duration = Duration::from_secs(10);

fn append(
    shared: &SharedStore,
    record: KeyedRecord,
) {
    let mut model = shared.model.borrow_mut();
    let appended = model.append("keyed.limpetquay", &[record], Condition::Always);
    appended.expect("an append without a condition");
}

fn registration(
    address: SocketAddr,
    registration: u64,
) -> KeyedRecord {
    let member = Member {
        name: "guard-1".into(),
        role: MemberRole::Guard,
        address,
        registration,
        job_bytes: None,
    };
    let record = LedgerKey::Member(member.name.clone()).record(&LedgerRecord::Member(member));
    record.expect("an encodable record")
}

/// Accepts a session and returns the token of its first message.
async fn accept_session(
    listener: &TcpListener,
    clock: &dyn Clock,
) -> u64 {
    let accepting = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let orders: GuardOrders = read_frame(&mut stream).await.expect("a message");
        orders.token
    };
    let token = with_timeout(clock, TIMEOUT, accepting).await;
    token.expect("a session is opened in time")
}

/// Returns the context of an entry that becomes the leader over a store in memory.
pub fn leader_context(
    shared: &Rc<SharedStore>,
    clock: &Rc<dyn Clock>,
) -> SchedulerContext {
    let store = FakeStore::new(shared.clone(), clock.clone(), Duration::from_millis(2));
    let health = store.health.clone();
    let ledger = Rc::new(Ledger::new(store, clock.clone()));
    let election = Rc::new(LeaderElection::new(
        ledger,
        clock.clone(),
        health,
        EntryName::from("entry-1"),
        1,
        CandidateMachine {
            cpu_milli: 500,
            link_kbps: 200_000,
        },
    ));
    SchedulerContext {
        election,
        clock: clock.clone(),
        config: Rc::default(),
        evacuations: Rc::default(),
        max_evacuation_age: None,
        leases: LeaseTerms::new(Millis(LEASES_MS)),
        remote_factor: 3,
        reclaim_time: DEFAULT_RECLAIM_TIME,
        retention: Duration::from_secs(240),
        metrics: Rc::new(PlatformMetrics::default()),
    }
}

/// Guards against work that is given up although its guard reports it: a report that arrives more slowly
/// than the guard may be silent ended the session, and so did each repetition.
#[test]
fn a_report_that_arrives_slowly_keeps_its_session() {
    let runtime = Runtime::new().expect("a runtime");
    let sessions = runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let shared: Rc<SharedStore> = Rc::default();
        let cx = leader_context(&shared, &clock);
        let ledger = cx.election.ledger.clone();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        append(
            &shared,
            registration(listener.local_addr().expect("an address"), 1),
        );
        let _following = spawn(async move { ledger.follow().await });
        let _leading = spawn(run_scheduler(cx));
        let mut sessions = 0;
        let mut open = Vec::new();
        let serving = async {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                sessions += 1;
                let orders: GuardOrders = read_frame(&mut stream).await.expect("a message");
                let mut tracker = tracker();
                tracker.open_session(orders.token);
                let mut frame = Vec::new();
                let report = tracker.report(clock.now());
                write_frame(&mut frame, &report).await.expect("a frame");
                // Six parts take 2.4 s.
                for part in frame.chunks(frame.len().div_ceil(6)) {
                    clock.sleep(Duration::from_millis(400)).await;
                    if stream.write_all(part.to_vec()).await.0.is_err() {
                        break;
                    }
                }
                open.push(stream);
            }
        };
        with_timeout(&*clock, Duration::from_millis(3000), serving).await;
        sessions
    });
    assert_eq!(sessions, 1);
}

/// Guards against workers that get no more work until another entry leads: a guard refuses a token
/// that is not above all earlier ones, so tokens go on rising when its record is removed and stored
/// again within a term. Review case 3.
#[test]
fn tokens_rise_when_a_guard_registers_again() {
    let runtime = Runtime::new().expect("a runtime");
    let tokens = runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::default());
        let shared: Rc<SharedStore> = Rc::default();
        let cx = leader_context(&shared, &clock);
        let ledger = cx.election.ledger.clone();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        append(&shared, registration(address, 1));
        let _following = spawn(async move { ledger.follow().await });
        let _leading = spawn(run_scheduler(cx));
        let mut tokens = Vec::new();
        for number in 2..5 {
            // The stand-in guard closes each session at once, so the leader opens a second one.
            tokens.push(accept_session(&listener, &*clock).await);
            tokens.push(accept_session(&listener, &*clock).await);
            append(&shared, LedgerKey::Member("guard-1".into()).tombstone());
            clock.sleep(Duration::from_millis(150)).await;
            append(&shared, registration(address, number));
        }
        tokens
    });
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:x?}");
}

/// Guards against a record that is removed as soon as it is stored: a guard that registers during a
/// term has as long for its first report as any other guard between two. Review case 3.
#[test]
fn a_guard_that_has_just_registered_has_not_expired() {
    let leases = LeaseTerms::new(Millis(LEASES_MS));
    let policy = Box::new(RackFirstPlacement);
    let mut scheduler = Scheduler::new(1, leases, 3, policy, BTreeSet::new(), Millis(0));
    let name = UpstreamName::from("guard-1");
    let registered_at = Millis(60_000);
    scheduler.set_stored_registration(&name, Some(1), registered_at);
    scheduler.open_session(&name);
    scheduler.close_session(&name);
    let expired_at = (0..30_000).step_by(100).map(Millis).find(|after| {
        let expired = scheduler.mark_expired_guards(registered_at + *after);
        !expired.is_empty()
    });
    let expiry_delay = leases.expiry_delay();
    assert_eq!(
        expired_at,
        Some(expiry_delay + Millis(100 - expiry_delay.0 % 100))
    );
}
