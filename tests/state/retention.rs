//! State that lasts longer than the log keeps its records.

use {
    super::fake_log::{FakeClient, FakeLog},
    compio::runtime::spawn,
    limpetquay::{
        prelude::*,
        process::{
            clock::VirtualClock,
            platform::LogRecord,
            state::{DocumentRecord, LogCondition, Record, RecordBody, SnapshotPolicy, State},
        },
    },
    std::collections::BTreeMap,
};

const RETENTION: Duration = Duration::from_secs(3600);

fn follow(
    log: &Rc<FakeLog>,
    clock: &Rc<dyn Clock>,
    name: &str,
    epoch: u64,
) -> Rc<State> {
    let client = FakeClient {
        log: log.clone(),
        is_partitioned: Rc::default(),
    };
    let state = State::new(Rc::new(client), clock.clone(), name.into(), epoch);
    let state = Rc::new(state);
    let following = state.clone();
    spawn(async move { following.sync_with_log().await }).detach();
    state
}

fn keep_snapshots(state: &Rc<State>) {
    let state = state.clone();
    let policy = SnapshotPolicy {
        retention: RETENTION,
    };
    let live = || {
        ["entry-1", "entry-2", "entry-3"]
            .map(EntryName::from)
            .to_vec()
    };
    spawn(async move { state.write_due_snapshots(policy, live).await }).detach();
}

async fn submit(
    state: &State,
    text: &str,
) {
    let record = RecordBody::Document(DocumentRecord {
        follows: state.fold().version(),
        text: text.into(),
        operator: "ayanda".into(),
        submitted_ms: 0,
    });
    state.append(record).await.expect("recorded");
}

/// Returns how many parts of snapshots stand in the history, by writer.
fn snapshot_parts(history: &[LogRecord]) -> BTreeMap<String, usize> {
    let mut parts = BTreeMap::new();
    for record in history {
        let record: Record = postcard::from_bytes(&record.data).expect("a record");
        if matches!(record.body, RecordBody::Snapshot(_)) {
            *parts.entry(record.writer.to_string()).or_default() += 1;
        }
    }
    parts
}

/// Twelve hours after the only change, with records kept for one hour, a new entry without peers
/// gets the document; in each period one entry wrote the state again.
#[test]
fn a_document_outlives_its_record() {
    let clock = VirtualClock::new();
    let shared: Rc<dyn Clock> = clock.clone();
    let seen = clock.block_on(async move {
        let log = FakeLog::new(shared.clone());
        log.retention.set(Some(RETENTION));
        let names = ["entry-1", "entry-2", "entry-3"];
        let states: Vec<Rc<State>> = (1..)
            .zip(names)
            .map(|(epoch, name)| follow(&log, &shared, name, epoch))
            .collect();
        states.iter().for_each(keep_snapshots);
        submit(&states[0], "; one").await;
        shared.sleep(RETENTION * 12).await;
        let fresh = follow(&log, &shared, "entry-4", 4);
        shared.sleep(Duration::from_secs(10)).await;
        let parts = snapshot_parts(&log.history.borrow());
        let total: usize = parts.values().sum();
        let fold = fresh.fold();
        let same =
            fold.to_bytes().expect("encoded") == states[0].fold().to_bytes().expect("encoded");
        (fold.version(), fresh.log_view().condition, same, total)
    });
    insta::assert_debug_snapshot!(seen);
}

/// When every snapshot is lost as well, a new entry does not guess: it stays without a document
/// and says that records were missed.
#[test]
fn a_gap_without_snapshot_yields_no_state() {
    let clock = VirtualClock::new();
    let shared: Rc<dyn Clock> = clock.clone();
    let seen = clock.block_on(async move {
        let log = FakeLog::new(shared.clone());
        let old = follow(&log, &shared, "entry-1", 1);
        submit(&old, "; one").await;
        submit(&old, "; two").await;
        submit(&old, "; three").await;
        log.drop_below(limpetquay::process::platform::Offset(1));
        let fresh = follow(&log, &shared, "entry-2", 2);
        shared.sleep(Duration::from_secs(60)).await;
        let before = (fresh.fold().version(), fresh.log_view().condition);
        old.write_snapshot().await;
        shared.sleep(Duration::from_secs(10)).await;
        assert_eq!(fresh.log_view().condition, LogCondition::Following);
        (before, fresh.fold().version())
    });
    insta::assert_debug_snapshot!(seen);
}
