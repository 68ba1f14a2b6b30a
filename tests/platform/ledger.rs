//! What the ledger's records amount to, and what is forgotten.

use limpetquay::{
    prelude::*,
    process::ledger::{
        KeyedPage, KeyedRecord, LedgerFold, LedgerKey, LedgerRecord, Member, MemberRole,
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

fn ended() -> LedgerRecord {
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
        boot: 1,
    };
    (LedgerKey::Member(name.into()), LedgerRecord::Member(member))
}

/// Builds records that are stored from an offset on.
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

/// A job is dropped when its end was read as long ago as its caller may ask for it, and not before.
#[test]
fn ended_jobs_are_dropped_after_their_retention() {
    let (open, done) = (StepJobId(1), StepJobId(2));
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
    let mut seen = vec![fold.expired_jobs(Millis(1_000_000), RETENTION, 10)];
    for record in records(2, &[(LedgerKey::Progress(done), ended())]) {
        fold.apply(&record, Millis(1000));
    }
    seen.push(fold.expired_jobs(Millis(240_999), RETENTION, 10));
    seen.push(fold.expired_jobs(Millis(241_000), RETENTION, 10));
    for key in LedgerFold::job_keys(done) {
        fold.apply(&key.tombstone(), Millis(241_000));
    }
    seen.push(fold.expired_jobs(Millis(1_000_000), RETENTION, 10));
    seen.push(fold.jobs.keys().copied().collect());
    insta::assert_debug_snapshot!(seen);
}

/// A reader that missed the records by which something was dropped forgets it with the next page of
/// all newest records, and keeps what was stored behind that page.
#[test]
fn what_was_dropped_unseen_is_forgotten() {
    let (dropped, kept, late) = (StepJobId(1), StepJobId(2), StepJobId(3));
    let mut fold = LedgerFold::default();
    let before = records(
        0,
        &[
            (LedgerKey::Job(dropped), job(dropped)),
            (LedgerKey::Job(kept), job(kept)),
            member("gone"),
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
    };
    fold.retain_newest(&page);
    let jobs: Vec<StepJobId> = fold.jobs.keys().copied().collect();
    let members: Vec<Arc<str>> = fold.members.keys().cloned().collect();
    insta::assert_debug_snapshot!((jobs, members));
}
