//! Progress that does not fit into one record of the store.

use {
    super::fake_store::{FakeStore, SharedStore},
    compio::runtime::spawn,
    limpetquay::{
        platform::stand_in::StoreLimits,
        prelude::*,
        process::{
            clock::VirtualClock,
            ledger::{
                CandidateMachine, Condition, KeyedStore, LeaderElection, Ledger, LedgerFold,
                LedgerKey, LedgerRecord,
            },
            metrics::PlatformMetrics,
            scheduler::{LeaseTerms, SchedulerContext, run_scheduler},
        },
        request::{JobPhase, JobProgress, ProgressStamp, Step, StepJob, StepJobId, UnitId},
        version::QueueName,
    },
};

const TOPIC: &str = "keyed.limpetquay";
const LARGE: StepJobId = StepJobId(1);
const SMALL: StepJobId = StepJobId(2);
const SUBTASKS: u32 = 14_000;

pub fn job(
    id: StepJobId,
    count: u32,
) -> StepJob {
    StepJob {
        id,
        queue: QueueName::from("queue"),
        account: AccountName::from("account"),
        service: "service".into(),
        priority: 0,
        attempts: 3,
        stretch_percent: 100,
        target_ms: 0,
        payload: "".into(),
        steps: vec![Step {
            count,
            checkpoints: true,
            ..Step::default()
        }],
        recurrence: None,
        accepted_ms: 0,
    }
}

pub fn unit(index: u32) -> UnitId {
    UnitId {
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Returns the progress of a job whose units have all saved a checkpoint of 16 characters.
pub fn checkpointed(
    units: u32,
    number: u64,
) -> JobProgress {
    let checkpoints = (0..units).map(|i| (unit(i), format!("{i:016}").into()));
    JobProgress {
        stamp: ProgressStamp { term: 0, number },
        phase: JobPhase::Running,
        checkpoints: checkpoints.collect(),
        ..JobProgress::default()
    }
}

fn append(
    shared: &SharedStore,
    key: &LedgerKey,
    content: &LedgerRecord,
) {
    let record = key.record(content).expect("an encodable record");
    let mut model = shared.model.borrow_mut();
    let appended = model.append(TOPIC, &[record], Condition::Always);
    appended.expect("a record without a limit");
}

/// Lets one entry lead for `time` on a store, and returns the number of appends that were too large.
fn lead(
    shared: &Rc<SharedStore>,
    time: Duration,
) -> u64 {
    let clock = VirtualClock::new();
    let store = FakeStore::new(shared.clone(), clock.clone(), Duration::from_millis(2));
    let keyed: Rc<dyn KeyedStore> = store.clone();
    clock.clone().block_on(async move {
        let ledger = Rc::new(Ledger::new(keyed, clock.clone()));
        let election = Rc::new(LeaderElection::new(
            ledger.clone(),
            clock.clone(),
            store.health.clone(),
            EntryName::from("entry-1"),
            1,
            CandidateMachine {
                cpu_milli: 500,
                link_kbps: 200_000,
            },
        ));
        let cx = SchedulerContext {
            election,
            clock: clock.clone(),
            queue_table: Rc::default(),
            leases: LeaseTerms::new(Millis(6000)),
            remote_factor: 3,
            retention: Duration::from_secs(240),
            metrics: Rc::new(PlatformMetrics::default()),
        };
        let _following = spawn(async move { ledger.follow().await });
        let _leading = spawn(run_scheduler(cx));
        clock.sleep(time).await;
    });
    shared.model.borrow().oversized_appends
}

/// Returns the state that results from the newest record of each key.
fn newest(shared: &SharedStore) -> LedgerFold {
    let mut fold = LedgerFold::default();
    for record in shared.model.borrow_mut().newest(TOPIC).records {
        fold.apply(&record, Millis(0));
    }
    fold
}

/// Guards against a ledger on which nothing is recorded any more: the progress of one job exceeds
/// the size of a record, and shares its append with the progress of all other jobs and with the
/// renewal of the term. Review case 6.
#[test]
fn progress_above_the_size_of_a_record_is_recorded_beside_that_of_other_jobs() {
    let shared: Rc<SharedStore> = Rc::default();
    shared.model.borrow_mut().limits = StoreLimits {
        record_bytes: usize::MAX,
        ..StoreLimits::default()
    };
    let progress = checkpointed(SUBTASKS, 1);
    for (id, count) in [(LARGE, SUBTASKS), (SMALL, 1)] {
        let record = LedgerRecord::Job(job(id, count));
        append(&shared, &LedgerKey::Job(id), &record);
    }
    let record = LedgerRecord::Progress(progress.clone());
    append(&shared, &LedgerKey::Progress(LARGE), &record);
    shared.model.borrow_mut().limits = StoreLimits::default();
    let oversized = lead(&shared, Duration::from_secs(10));
    let fold = newest(&shared);
    let (large, small) = (&fold.jobs[&LARGE].progress, &fold.jobs[&SMALL].progress);
    let terms = (large.stamp.term > 0, small.stamp.term > 0);
    assert_eq!((oversized, terms), (0, (true, true)));
    assert_eq!(large.checkpoints, progress.checkpoints);
}
