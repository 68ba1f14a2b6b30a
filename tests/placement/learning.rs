//! Estimates of run times, and ejection of workers on which jobs fail.

use limpetquay::{
    prelude::*,
    process::job_queue::{Ejections, Estimates},
};

const DECLARED: Duration = Duration::from_secs(3600);

/// Estimates start from the declared run time. They follow the recorded run times of all accounts'
/// jobs of the kind, and those of the account once it has enough.
#[test]
fn run_times_are_learned() {
    let mut estimates = Estimates::default();
    let [own, other, kind] = ["own", "other", "kind"];
    let mut seen = Vec::new();
    let estimate = |estimates: &Estimates| {
        let e = estimates.run_time(&own.into(), &kind.into(), DECLARED);
        (e.typical.as_secs(), e.upper.as_secs())
    };
    seen.push(estimate(&estimates));
    for run in [600, 700, 800, 900, 1000] {
        estimates.record(&other.into(), &kind.into(), Duration::from_secs(run));
    }
    seen.push(estimate(&estimates));
    for run in [60, 70, 80, 90, 300] {
        estimates.record(&own.into(), &kind.into(), Duration::from_secs(run));
    }
    seen.push(estimate(&estimates));
    let elapsed = [50, 250, 5000].map(|elapsed| {
        let elapsed = Duration::from_secs(elapsed);
        let rest = estimates.remaining_time(&own.into(), &kind.into(), DECLARED, elapsed);
        (rest.typical.as_secs(), rest.upper.as_secs())
    });
    insta::assert_debug_snapshot!((seen, elapsed));
}

/// A worker on which every job fails is ejected after three jobs and tried again after a minute. The
/// next failure ejects it for longer; a job that finishes there clears it.
#[test]
fn a_bad_worker_is_ejected_and_tried_again() {
    let mut ejections = Ejections::default();
    let bad = UpstreamName::from("bad");
    let mut seen = Vec::new();
    for id in 1..=3 {
        let ejected = ejections.record_failure(Millis(0), JobId(id), &bad, 11);
        seen.push(format!("job {id} fails: ejected {ejected}"));
    }
    for s in [0, 59, 60] {
        let out = ejections.ejected(Millis(s * 1000));
        seen.push(format!("after {s}s: {} out", out.len()));
    }
    let again = ejections.record_failure(Millis(60_000), JobId(4), &bad, 11);
    seen.push(format!("fails on trial: ejected {again}"));
    let out = ejections.ejected(Millis(179_000));
    seen.push(format!("after 119s more: {} out", out.len()));
    ejections.record_success(JobId(5), std::slice::from_ref(&bad));
    let fresh = ejections.record_failure(Millis(200_000), JobId(6), &bad, 11);
    seen.push(format!("fails once after a success: ejected {fresh}"));
    insta::assert_debug_snapshot!(seen);
}

/// A job that fails on every worker ejects none, and at most a third of the fleet is ejected at a
/// time.
#[test]
fn a_bad_job_ejects_nobody() {
    let mut ejections = Ejections::default();
    let workers: Vec<UpstreamName> = (0..9).map(|i| format!("w{i}").as_str().into()).collect();
    for worker in workers.iter().cycle().take(36) {
        ejections.record_failure(Millis(0), JobId(1), worker, 9);
    }
    let by_one_job = ejections.ejected(Millis(1)).len();
    for (id, worker) in (10..).zip(workers.iter().cycle().take(36)) {
        ejections.record_failure(Millis(0), JobId(id), worker, 9);
    }
    let by_many_jobs = ejections.ejected(Millis(1)).len();
    insta::assert_debug_snapshot!((by_one_job, by_many_jobs));
}
