//! A lower bound on the mean completion time of replayed jobs.

use {super::ReplayJob, crate::prelude::*, std::collections::BTreeSet};

/// A job on the single machine of the relaxation; the one with the least work is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FluidJob {
    /// In accelerator milliseconds.
    remaining_work: u64,
    job: usize,
}

/// Returns a lower bound of the mean completion time of `jobs`, which are in the order of arrival.
/// It is the largest of
///
/// - their mean run time,
/// - their mean completion time on a single machine that is as fast as all accelerators together
///   and serves the shortest remaining work first,
/// - their mean completion time when each account has such a machine, as fast as its quota.
///
/// Every schedule on the fleet can be transformed into one on such a machine that ends no job
/// later, and shortest remaining work first is optimal there (Schrage 1968).
pub(super) fn mean_completion_bound(
    jobs: &[&ReplayJob],
    accelerators: u32,
    document: &Document,
) -> Duration {
    if jobs.is_empty() {
        return Duration::ZERO;
    }
    let run_ms: u128 = jobs.iter().map(|j| j.run_time.as_millis()).sum();
    let by_account = document.accounts.values().map(|account| {
        let account_jobs: Vec<&ReplayJob> = jobs
            .iter()
            .copied()
            .filter(|j| j.account == account.name)
            .collect();
        total_completion_ms(&account_jobs, account.quota_accelerators.min(accelerators))
    });
    let relaxed_ms = total_completion_ms(jobs, accelerators).max(by_account.sum());
    let total_ms = run_ms.max(u128::from(relaxed_ms));
    Duration::from_millis((total_ms / jobs.len() as u128) as u64)
}

/// Returns the sum of the completion times on a single machine that is as fast as `accelerators`
/// together, in milliseconds.
fn total_completion_ms(
    jobs: &[&ReplayJob],
    accelerators: u32,
) -> u64 {
    let speed = u64::from(accelerators);
    let mut active: BTreeSet<FluidJob> = BTreeSet::new();
    let mut arrivals = jobs.iter().enumerate().peekable();
    let mut now = 0;
    let mut total = 0;
    loop {
        while let Some((job, arriving)) = arrivals.next_if(|(_, j)| j.arrives_at.0 <= now) {
            let size = u64::from(arriving.kind.gang.total_accelerators());
            let remaining_work = arriving.run_time.as_millis() as u64 * size;
            active.insert(FluidJob {
                remaining_work,
                job,
            });
        }
        let next_arrival = arrivals.peek().map(|(_, j)| j.arrives_at.0);
        let Some(mut current) = active.pop_first() else {
            match next_arrival {
                Some(at) => now = at,
                None => return total,
            }
            continue;
        };
        let ends_at = now + current.remaining_work / speed;
        match next_arrival.filter(|at| *at < ends_at) {
            Some(at) => {
                current.remaining_work -= (at - now) * speed;
                active.insert(current);
                now = at;
            }
            None => {
                now = ends_at;
                total += ends_at - jobs[current.job].arrives_at.0;
            }
        }
    }
}
