//! Progress that does not fit into one record of the store.

use {
    super::{
        fake_store::{FakeStore, SharedStore},
        one_guard::{leader, open_job, response, scheduler, tracker},
    },
    compio::runtime::spawn,
    limpetquay::{
        connection::{EndKind, RunEnd},
        platform::stand_in::StoreLimits,
        prelude::*,
        process::{
            clock::VirtualClock,
            job_service::{DeskError, EarlyCancellations, JobService},
            ledger::{
                CandidateMachine, Condition, JobView, KeyedRecord, KeyedStore, LeaderElection,
                Ledger, LedgerFold, LedgerKey, LedgerRecord, RecordLimits,
            },
            metrics::PlatformMetrics,
            runs::PollResponse,
            scheduler::{
                DEFAULT_RECLAIM_TIME, LeaseTerms, ProgressQueue, ProgressRecords, SchedulerContext,
                run_scheduler,
            },
        },
        request::{
            JobPhase, JobProgress, ProgressStamp, Recurrence, Step, StepJob, StepJobId, UnitId,
        },
        version::QueueName,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        cell::Cell,
        collections::{BTreeMap, BTreeSet},
    },
};

const TOPIC: &str = "keyed.limpetquay";
const LARGE: StepJobId = StepJobId::from_number(1);
const SMALL: StepJobId = StepJobId::from_number(2);
const SUBTASKS: u32 = 14_000;

fn job(
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

fn unit(index: u32) -> UnitId {
    UnitId {
        occurrence: 0,
        step: 0,
        index,
    }
}

/// Returns the progress of a job whose units have all saved a checkpoint of 16 characters.
fn checkpointed(
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
            config: Rc::default(),
            evacuations: Rc::default(),
            max_evacuation_age: None,
            leases: LeaseTerms::new(Millis(6000)),
            remote_factor: 3,
            reclaim_time: DEFAULT_RECLAIM_TIME,
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

/// Guards against one refused job that blocks all others: the store rejects what the settings allow,
/// and the rejected append is not repeated as it is.
#[test]
fn a_rejected_job_is_skipped_while_others_are_recorded() {
    let shared: Rc<SharedStore> = Rc::default();
    for (id, count) in [(LARGE, SUBTASKS), (SMALL, 1)] {
        let record = LedgerRecord::Job(job(id, count));
        append(&shared, &LedgerKey::Job(id), &record);
    }
    let record = LedgerRecord::Progress(checkpointed(SUBTASKS / 2, 1));
    append(&shared, &LedgerKey::Progress(LARGE), &record);
    shared.model.borrow_mut().limits = StoreLimits {
        record_bytes: 50_000,
        ..StoreLimits::default()
    };
    let oversized = lead(&shared, Duration::from_secs(10));
    let fold = newest(&shared);
    let terms = [LARGE, SMALL].map(|id| fold.jobs[&id].progress.stamp.term > 0);
    assert_eq!(terms, [false, true]);
    // The append of both jobs, and the one of the large job alone.
    assert!((1..=2).contains(&oversized), "{oversized}");
}

/// The records of a job at a small store, as the newest of each key and as a reader has followed
/// them.
#[derive(Default)]
struct StoredProgress {
    newest: BTreeMap<Arc<str>, KeyedRecord>,
    follower: LedgerFold,
    end: u64,
}

impl StoredProgress {
    fn new() -> Self {
        let mut stored = Self::default();
        let record = LedgerRecord::Job(job(LARGE, SUBTASKS));
        let record = LedgerKey::Job(LARGE).record(&record);
        stored.append(record.expect("an encodable record"));
        stored
    }

    fn append(
        &mut self,
        mut record: KeyedRecord,
    ) {
        record.offset = self.end;
        self.end += 1;
        self.follower.apply(&record, Millis(0));
        match record.value {
            Some(_) => drop(self.newest.insert(record.key.clone(), record)),
            None => drop(self.newest.remove(&record.key)),
        }
    }

    /// Returns the state of a reader that has read only the newest records.
    fn late_reader(&self) -> LedgerFold {
        let mut records: Vec<&KeyedRecord> = self.newest.values().collect();
        records.sort_by_key(|r| r.offset);
        let mut fold = LedgerFold::default();
        for record in records {
            fold.apply(record, Millis(0));
        }
        fold
    }
}

/// Checks that a reader knows at least what was recorded, and no more than there was to record. The
/// checkpoints of a unit are ascending numbers.
fn check_reading(
    read: &JobProgress,
    recorded: &JobProgress,
    current: &JobProgress,
) {
    assert!(read.done.is_superset(&recorded.done), "an end is lost");
    assert!(read.done.is_subset(&current.done), "an end is made up");
    for (unit, runs) in &recorded.failed_runs {
        let is_kept = read
            .failed_runs
            .get(unit)
            .is_some_and(|r| r.is_superset(runs));
        assert!(
            is_kept || read.done.contains(unit),
            "a failure of {unit} is lost"
        );
    }
    for (unit, runs) in &read.failed_runs {
        let is_known = current
            .failed_runs
            .get(unit)
            .is_some_and(|r| r.is_superset(runs));
        // Failed runs of a unit that has succeeded are not stored any more.
        assert!(
            is_known || current.done.contains(unit),
            "a failure is made up"
        );
    }
    for (unit, checkpoint) in &recorded.checkpoints {
        let is_kept = read.checkpoints.get(unit).is_some_and(|c| c >= checkpoint);
        assert!(
            is_kept || read.done.contains(unit),
            "the checkpoint of {unit} is lost"
        );
    }
    for (unit, checkpoint) in &read.checkpoints {
        let newest = current.checkpoints.get(unit);
        let is_known = newest.is_some_and(|c| c >= checkpoint) || current.done.contains(unit);
        assert!(
            is_known && !read.done.contains(unit),
            "a checkpoint is made up"
        );
    }
}

/// Changes some units of a job's progress at random.
fn change(
    rng: &mut StdRng,
    progress: &mut JobProgress,
    number: u64,
) {
    for _ in 0..rng.random_range(1..40) {
        let unit = unit(rng.random_range(0..200));
        if progress.done.contains(&unit) {
            continue;
        }
        match rng.random_range(0..10) {
            0 => {
                progress.checkpoints.remove(&unit);
                progress.done.insert(unit);
            }
            1 => drop(progress.failed_runs.entry(unit).or_default().insert(number)),
            _ => {
                let text = format!("{number:06}{}", "x".repeat(rng.random_range(0..60)));
                progress.checkpoints.insert(unit, text.into());
            }
        }
    }
    progress.stamp.number = number;
}

/// Guards against progress that is lost or made up when only some of its records are stored: at any
/// point, a reader that has followed and one that has read only the newest records know at least the
/// last change of which all records are stored. A leader may be replaced at any point.
#[test]
fn any_part_of_the_records_shows_what_was_recorded() {
    let limits = RecordLimits::new(2000, 8000);
    let mut most_parts = 0;
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut stored = StoredProgress::new();
        let mut records = ProgressRecords::new(limits);
        let mut recorded = JobProgress::default();
        let mut progress = JobProgress {
            stamp: ProgressStamp { term: 1, number: 0 },
            phase: JobPhase::Running,
            ..JobProgress::default()
        };
        for number in 1..60 {
            change(&mut rng, &mut progress, number);
            let numbers = stored.follower.progress_part_numbers(LARGE);
            let planned = records.plan(LARGE, &progress, &numbers);
            let planned = planned.expect("records that the store accepts");
            let is_interrupted = rng.random_range(0..6) == 0;
            let count = if is_interrupted {
                rng.random_range(0..planned.len())
            } else {
                planned.len()
            };
            for record in planned.into_iter().take(count) {
                assert!(limits.accepts(&record), "{} bytes", record.size());
                stored.append(record);
                for reader in [&stored.follower, &stored.late_reader()] {
                    check_reading(&reader.jobs[&LARGE].progress, &recorded, &progress);
                }
            }
            most_parts = most_parts.max(stored.follower.progress_part_numbers(LARGE).len());
            if !is_interrupted {
                recorded = progress.clone();
                continue;
            }
            if rng.random() {
                records.forget(LARGE);
            } else {
                // Another entry takes over and goes on from what it has read.
                let read = stored.late_reader().jobs[&LARGE].progress.clone();
                let term = progress.stamp.term + 1;
                progress = JobProgress {
                    stamp: ProgressStamp { term, number },
                    phase: JobPhase::Running,
                    ..read
                };
                recorded = progress.clone();
                records = ProgressRecords::new(limits);
            }
        }
        let mut keys = stored.follower.stored_keys(LARGE);
        keys.retain(|k| *k != LedgerKey::Cancel(LARGE));
        let mut stored_keys: Vec<Option<LedgerKey>> =
            stored.newest.keys().map(|k| LedgerKey::parse(k)).collect();
        let mut keys: Vec<Option<LedgerKey>> = keys.into_iter().map(Some).collect();
        stored_keys.sort();
        keys.sort();
        assert_eq!(
            keys, stored_keys,
            "seed {seed}: all records of a job are dropped with it"
        );
    }
    assert!(most_parts > 4, "{most_parts}");
}

/// Progress that fits into one record is stored as earlier versions store it, also when it has been
/// divided before; the further records are then dropped.
#[test]
fn small_progress_is_one_record() {
    let mut records = ProgressRecords::new(RecordLimits::default());
    let small = checkpointed(10, 1);
    let planned = records.plan(SMALL, &small, &BTreeSet::new());
    let expected = LedgerKey::Progress(SMALL).record(&LedgerRecord::Progress(small.clone()));
    assert_eq!(planned, Ok(vec![expected.expect("an encodable record")]));
    let divided = records.plan(SMALL, &checkpointed(SUBTASKS, 2), &BTreeSet::new());
    let numbers: Vec<Arc<str>> = divided
        .expect("records")
        .into_iter()
        .map(|r| r.key)
        .collect();
    let again = records
        .plan(SMALL, &small, &BTreeSet::new())
        .expect("records");
    let again: Vec<(Arc<str>, bool)> = again
        .into_iter()
        .map(|r| (r.key, r.value.is_some()))
        .collect();
    insta::assert_debug_snapshot!((numbers, again));
}

/// Guards against a job whose other subtasks lose their progress because of one that saves a
/// checkpoint longer than a record.
#[test]
fn a_checkpoint_that_no_record_holds_is_left_out() {
    let mut progress = checkpointed(3, 1);
    progress
        .checkpoints
        .insert(unit(1), "x".repeat(262_144).into());
    let mut records = ProgressRecords::new(RecordLimits::default());
    let planned = records.plan(LARGE, &progress, &BTreeSet::new());
    let mut stored = StoredProgress::new();
    for record in planned.expect("records that the store accepts") {
        stored.append(record);
    }
    let read = &stored.follower.jobs[&LARGE].progress.checkpoints;
    let kept: Vec<u32> = read.keys().map(|u| u.index).collect();
    assert_eq!(kept, [0, 2]);
}

/// Guards against a leader that keeps a checkpoint in memory that no record holds.
#[test]
fn a_reported_checkpoint_that_no_record_holds_is_not_kept() {
    let mut view = open_job();
    Rc::make_mut(&mut view.job).steps[0].checkpoints = true;
    let limit = RecordLimits::default().max_checkpoint_bytes(4);
    let limit = limit.expect("room for a checkpoint");
    let kept = [limit, limit + 1].map(|len| {
        let (mut scheduler, name) = leader(&view);
        let mut guard = tracker();
        guard.open_session(1);
        scheduler.open_session(&name);
        guard.apply_poll(1, Millis(0), Millis(0), response(true));
        scheduler.apply_report(&name, guard.report(Millis(0)), Millis(0));
        scheduler.run_pass(Millis(0), Millis(0));
        let orders = scheduler.next_message(&name, 1);
        let run = orders.starts.first().expect("a start").run;
        guard.apply_orders(&orders, Millis(0));
        let ended = RunEnd {
            number: 1,
            run,
            kind: EndKind::Lapsed,
            checkpoint: Some("x".repeat(len).into()),
        };
        let ended = PollResponse {
            ended: vec![ended],
            ..response(true)
        };
        guard.apply_poll(1, Millis(100), Millis(100), ended);
        scheduler.apply_report(&name, guard.report(Millis(100)), Millis(100));
        !scheduler.jobs[&StepJobId::from_number(1)]
            .progress
            .checkpoints
            .is_empty()
    });
    assert_eq!(kept, [true, false]);
}

fn view_of(
    id: StepJobId,
    progress: JobProgress,
) -> JobView {
    JobView {
        memory_bytes: 0,
        job: Rc::new(job(id, SUBTASKS)),
        offset: 1,
        progress,
        is_cancelled: false,
        is_cancelled_early: false,
        ended_at: None,
    }
}

/// Guards against an append that is larger than the store accepts, and against a large job that
/// keeps the others waiting: 100 jobs with progress of some 30 KB each, and one of several records.
#[test]
fn appends_are_bounded_and_large_jobs_share_them() {
    let mut scheduler = scheduler(2, &[]);
    scheduler.apply_job(&view_of(
        StepJobId::from_number(0),
        checkpointed(SUBTASKS, 1),
    ));
    for id in (1..=100).map(StepJobId::from_number) {
        scheduler.apply_job(&view_of(id, checkpointed(1500, 1)));
    }
    let limits = RecordLimits::default();
    let mut queue = ProgressQueue::new(limits);
    let fold = LedgerFold::default();
    let mut course = Vec::new();
    loop {
        let batch = queue.next_batch(&mut scheduler, &fold);
        if batch.is_empty() {
            break;
        }
        let records: Vec<KeyedRecord> = batch.records().cloned().collect();
        assert_eq!(limits.check(&records), Ok(()));
        let recorded = queue.confirm(batch);
        for (id, change) in &recorded {
            scheduler.mark_recorded(*id, *change);
        }
        course.push((records.len(), recorded.len()));
    }
    let all: usize = course.iter().map(|(_, recorded)| recorded).sum();
    assert_eq!(all, 101, "{course:?}");
    assert!(
        course[0].1 >= 1,
        "small jobs wait for a large one: {course:?}"
    );
}

/// Guards against a rejected append that is repeated as it is: its jobs are appended one by one, and
/// the one that is rejected waits until its progress changes.
#[test]
fn jobs_of_a_rejected_append_are_written_one_by_one() {
    let ids = (1..=3).map(StepJobId::from_number);
    let mut scheduler = scheduler(2, &[]);
    for id in ids.clone() {
        scheduler.apply_job(&view_of(id, checkpointed(1, 1)));
    }
    let mut queue = ProgressQueue::new(RecordLimits::default());
    let fold = LedgerFold::default();
    let together = queue.next_batch(&mut scheduler, &fold);
    assert_eq!(together.records().count(), 3);
    assert_eq!(queue.reject(together, true), None);
    let mut outcomes = Vec::new();
    for id in ids {
        let batch = queue.next_batch(&mut scheduler, &fold);
        assert_eq!(batch.records().count(), 1);
        assert!(queue.is_isolating());
        if id == StepJobId::from_number(2) {
            outcomes.extend(queue.reject(batch, true));
            continue;
        }
        for (id, change) in queue.confirm(batch) {
            scheduler.mark_recorded(id, change);
        }
    }
    assert!(queue.next_batch(&mut scheduler, &fold).is_empty());
    let mut cancelled = view_of(StepJobId::from_number(2), checkpointed(1, 1));
    cancelled.is_cancelled = true;
    scheduler.apply_job(&cancelled);
    let changed = queue.next_batch(&mut scheduler, &fold);
    assert_eq!(
        (outcomes, changed.records().count()),
        (vec![StepJobId::from_number(2)], 1)
    );
}

/// Guards against a job that is accepted although it can never be recorded: its own record, the list
/// of its subtasks or its failed runs exceed the size of a record.
#[test]
fn a_job_that_cannot_be_stored_is_refused() {
    let clock = VirtualClock::new();
    let outcomes = clock.clone().block_on(async move {
        let shared: Rc<SharedStore> = Rc::default();
        let store = FakeStore::new(shared.clone(), clock.clone(), Duration::from_millis(2));
        let limits = RecordLimits::new(10_000, 20_000);
        let ledger = Ledger::new(store, clock.clone()).with_limits(limits);
        let ledger = Rc::new(ledger);
        let follower = ledger.clone();
        let _following = spawn(async move { follower.follow().await });
        ledger.wait_until_read().await;
        let service = JobService {
            clock,
            ledger,
            config: Rc::default(),
            is_stopping: Cell::default(),
            metrics: Rc::new(PlatformMetrics::default()),
            submissions: Rc::default(),
            max_job_bytes: usize::MAX,
            early_cancellations: EarlyCancellations::new(Duration::from_secs(120)),
        };
        let mut long = job(StepJobId::from_number(1), 1);
        long.payload = "x".repeat(10_000).into();
        let wide = job(StepJobId::from_number(2), 20_000);
        let mut tried = job(StepJobId::from_number(3), 1);
        tried.attempts = 5000;
        let mut outcomes = Vec::new();
        for job in [long, wide, tried, job(StepJobId::from_number(4), 500)] {
            outcomes.push(service.submit(job, Duration::from_secs(1)).await);
        }
        outcomes
    });
    let too_large = Err(DeskError::TooLarge);
    assert_eq!(outcomes, [too_large, too_large, too_large, Ok(())]);
}

/// Any job of the greatest number of subtasks is accepted with the limits that are the default.
#[test]
fn the_largest_jobs_are_accepted_by_default() {
    let limits = RecordLimits::default();
    let one_step = job(LARGE, 20_000);
    let mut steps = job(LARGE, 1);
    steps.steps = vec![steps.steps[0].clone(); 5000];
    let mut recurring = job(LARGE, 1);
    recurring.recurrence = Some(Recurrence {
        count: 20_000,
        first_ms: 0,
        interval_ms: 1,
    });
    let checked = [one_step, steps, recurring].map(|job| {
        let key = LedgerKey::Job(job.id);
        let record = key.record(&LedgerRecord::Job(job.clone()));
        limits.check_job(&job, &record.expect("an encodable job"))
    });
    assert_eq!(checked, [Ok(()), Ok(()), Ok(())]);
}
