//! State that outlasts the retention of the log.

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

/// Returns the number of snapshot parts in the history, by writer.
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

/// Twelve hours after the only change, with records retained for one hour, a new entry without
/// peers gets the document from a snapshot, because in each period one entry has written one.
#[test]
fn a_document_outlives_its_record() {
    let clock = VirtualClock::new();
    let shared: Rc<dyn Clock> = clock.clone();
    let result = clock.block_on(async move {
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
        let is_same =
            fold.to_bytes().expect("encoded") == states[0].fold().to_bytes().expect("encoded");
        (fold.version(), fresh.log_view().condition, is_same, total)
    });
    insta::assert_debug_snapshot!(result);
}

/// If the log has dropped records and holds no snapshot, a new entry must not fold the remaining
/// records into a wrong state: it stays without a document and reports a gap until a snapshot is
/// written.
#[test]
fn a_gap_without_snapshot_yields_no_state() {
    let clock = VirtualClock::new();
    let shared: Rc<dyn Clock> = clock.clone();
    let result = clock.block_on(async move {
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
    insta::assert_debug_snapshot!(result);
}
