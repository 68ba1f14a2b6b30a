//! A short replay of job arrivals through the job queue and the placement policies.

use limpetquay::process::bench::placement::{Deployment, Replay, Strategy, Workload, WorkloadSize};

/// A replay of one day ends with no unfinished job, for both services and every strategy, and two
/// replays give the same completions.
#[test]
fn a_day_of_arrivals_is_served() {
    let mut lines = Vec::new();
    for deployment in Deployment::examples().expect("valid examples") {
        let workload = Workload::generate(&deployment, WorkloadSize { days: 1 }, 7);
        for strategy in Strategy::all() {
            let result = Replay::new(&deployment, &strategy, &workload).run();
            let again = Replay::new(&deployment, &strategy, &workload).run();
            assert_eq!(result.completion_times, again.completion_times);
            lines.push(format!(
                "{} {}: {} of {} finished, {} open, {} given up",
                deployment.document.service,
                strategy.name,
                result.completion_times.len(),
                workload.jobs.len(),
                result.unfinished_jobs,
                result.exhausted_jobs,
            ));
        }
    }
    insta::assert_debug_snapshot!(lines);
}
