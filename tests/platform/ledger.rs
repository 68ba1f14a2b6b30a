//! Tests of the state that results from the ledger's records, and of the removal of old jobs.

use limpetquay::{
    prelude::*,
    process::ledger::{
        Deregistration, KeyedPage, KeyedRecord, LedgerFold, LedgerKey, LedgerRecord, Member,
        MemberRole,
    },
    request::{JobPhase, JobProgress, ProgressStamp, Step, StepJob, StepJobId},
    version::QueueName,
};

const RETENTION: Duration = Duration::from_secs(240);

fn job(id: StepJobId) -> LedgerRecord {
    LedgerRecord::Job(StepJob {
        id,
        queue: QueueName::from("queue"),
        account: AccountName::from("account"),
        service: "service".into(),
        priority: 0,
        attempts: 1,
        stretch_percent: 100,
        target_ms: 0,
        payload: "".into(),
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        recurrence: None,
        accepted_ms: 0,
    })
}

fn completed() -> LedgerRecord {
    LedgerRecord::Progress(JobProgress {
        stamp: ProgressStamp { term: 1, number: 1 },
        phase: JobPhase::Completed,
        ..JobProgress::default()
    })
}

fn member(name: &str) -> (LedgerKey, LedgerRecord) {
    let member = Member {
        name: name.into(),
        role: MemberRole::Guard,
        address: "127.0.0.1:1".parse().expect("an address"),
        registration: 1,
        job_bytes: None,
    };
    (LedgerKey::Member(name.into()), LedgerRecord::Member(member))
}

/// Builds records with consecutive offsets from `first` on.
fn records(
    first: u64,
    contents: &[(LedgerKey, LedgerRecord)],
) -> Vec<KeyedRecord> {
    let numbered = contents.iter().zip(first..);
    let records = numbered.map(|((key, content), offset)| KeyedRecord {
        offset,
        ..key.record(content).expect("an encodable record")
    });
    records.collect()
}

/// A job expires when its end was read one retention ago, during which its caller may ask for it,
/// and not before. A recorded tombstone removes it.
#[test]
fn ended_jobs_are_dropped_after_their_retention() {
    let (open, done) = (StepJobId::from_number(1), StepJobId::from_number(2));
    let mut fold = LedgerFold::default();
    for record in records(
        0,
        &[
            (LedgerKey::Job(open), job(open)),
            (LedgerKey::Job(done), job(done)),
        ],
    ) {
        fold.apply(&record, Millis(0));
    }
    let mut observed = vec![fold.expired_jobs(Millis(1_000_000), RETENTION, 10)];
    for record in records(2, &[(LedgerKey::Progress(done), completed())]) {
        fold.apply(&record, Millis(1000));
    }
    observed.push(fold.expired_jobs(Millis(240_999), RETENTION, 10));
    observed.push(fold.expired_jobs(Millis(241_000), RETENTION, 10));
    for key in LedgerFold::job_keys(done) {
        fold.apply(&key.tombstone(), Millis(241_000));
    }
    observed.push(fold.expired_jobs(Millis(1_000_000), RETENTION, 10));
    observed.push(fold.jobs.keys().copied().collect());
    insta::assert_debug_snapshot!(observed);
}

/// A reader can miss tombstones that are trimmed from the topic's history. It then removes the jobs
/// and members that the next page of the newest records lacks, and keeps the jobs that were stored
/// after that page's end.
#[test]
fn a_page_of_the_newest_records_removes_keys_with_missed_tombstones() {
    let (dropped, kept, late) = (
        StepJobId::from_number(1),
        StepJobId::from_number(2),
        StepJobId::from_number(3),
    );
    let mut fold = LedgerFold::default();
    let before = records(
        0,
        &[
            (LedgerKey::Job(dropped), job(dropped)),
            (LedgerKey::Job(kept), job(kept)),
            member("removed"),
            member("here"),
            (LedgerKey::Job(late), job(late)),
        ],
    );
    for record in &before {
        fold.apply(record, Millis(0));
    }
    let page = KeyedPage {
        records: vec![before[1].clone(), before[3].clone()],
        end: 4,
        has_more: false,
    };
    fold.retain_newest(&page);
    let jobs: Vec<StepJobId> = fold.jobs.keys().copied().collect();
    let members: Vec<Arc<str>> = fold.members.keys().cloned().collect();
    insta::assert_debug_snapshot!((jobs, members));
}

/// Guards against jobs that the entry with the least memory cannot hold, and against a registration of the
/// version before, which does not state its memory, that is not read.
#[test]
fn the_least_memory_of_an_entry_limits_the_jobs() {
    let mut fold = LedgerFold::default();
    for (name, job_bytes) in [("a", Some(7)), ("b", Some(5)), ("c", None)] {
        let (key, record) = member(name);
        let LedgerRecord::Member(member) = record else {
            panic!("a member is expected");
        };
        let record = key.record(&LedgerRecord::Member(Member {
            job_bytes,
            ..member
        }));
        let mut record = record.expect("an encodable record");
        if job_bytes.is_none() {
            // The field is one byte at the end.
            record.value = record.value.map(|v| v.slice(..v.len() - 1));
        }
        fold.apply(&record, Millis(0));
    }
    assert_eq!((fold.members.len(), fold.min_job_bytes()), (3, Some(5)));
}

/// Guards against a takeover that does not wait for a guard whose worker may still run: a
/// deregistration leaves the guard known until the last lease of its worker has expired. One that
/// ends an earlier registration changes nothing.
#[test]
fn a_deregistered_guard_is_known_until_its_last_lease_expires() {
    let mut fold = LedgerFold::default();
    let (key, record) = member("guard-1");
    let now = Millis(1000);
    let ending = |registration| {
        LedgerRecord::Deregistered(Deregistration {
            registration,
            lease_ms: 3000,
        })
    };
    let mut seen = Vec::new();
    for registration in [7, 1] {
        fold.apply(&key.record(&record).expect("a record"), now);
        fold.apply(&key.record(&ending(registration)).expect("a record"), now);
        fold.apply(&key.tombstone(), now);
        seen.push((
            fold.members.len(),
            fold.unstored_members.clone(),
            fold.departed_guards.clone(),
        ));
    }
    insta::assert_debug_snapshot!(seen);
}
