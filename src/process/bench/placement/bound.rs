//! A bound that no scheduler can beat.

use {super::ReplayJob, crate::prelude::*, std::collections::BTreeSet};

/// What a job has left in the fluid machine.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FluidJob {
    /// Accelerator milliseconds.
    remaining_work: u64,
    job: usize,
}

/// Returns a lower bound of the mean completion time of jobs: the largest of
///
/// - their mean run time,
/// - their mean completion time on one machine as fast as all accelerators together, which serves
///   the shortest remaining work first,
/// - the same for each account by itself, on a machine as fast as its quota.
///
/// Every schedule on the fleet can be turned into one on such a machine that ends no job later,
/// and shortest remaining work first is optimal there (Schrage 1968).
pub(super) fn mean_completion_bound(
    jobs: &[&ReplayJob],
    accelerators: u32,
    document: &Document,
) -> Duration {
    if jobs.is_empty() {
        return Duration::ZERO;
    }
    let run: u128 = jobs.iter().map(|j| j.run_time.as_millis()).sum();
    let by_account = document.accounts.values().map(|account| {
        let own: Vec<&ReplayJob> = jobs
            .iter()
            .copied()
            .filter(|j| j.account == account.name)
            .collect();
        total_completion_ms(&own, account.quota_accelerators.min(accelerators))
    });
    let fluid = total_completion_ms(jobs, accelerators).max(by_account.sum());
    let total = run.max(u128::from(fluid));
    Duration::from_millis((total / jobs.len() as u128) as u64)
}

/// Returns the sum of the completion times on the fast machine, in milliseconds.
fn total_completion_ms(
    jobs: &[&ReplayJob],
    accelerators: u32,
) -> u64 {
    let speed = u64::from(accelerators);
    let mut open: BTreeSet<FluidJob> = BTreeSet::new();
    let mut arrivals = jobs.iter().enumerate().peekable();
    let mut now = 0;
    let mut total = 0;
    loop {
        while let Some((job, arriving)) = arrivals.next_if(|(_, j)| j.arrives_at.0 <= now) {
            let size = u64::from(arriving.kind.gang.total_accelerators());
            let left = arriving.run_time.as_millis() as u64 * size;
            open.insert(FluidJob {
                remaining_work: left,
                job,
            });
        }
        let next = arrivals.peek().map(|(_, j)| j.arrives_at.0);
        let Some(mut fluid) = open.pop_first() else {
            match next {
                Some(at) => now = at,
                None => return total,
            }
            continue;
        };
        let ends = now + fluid.remaining_work / speed;
        match next.filter(|at| *at < ends) {
            Some(at) => {
                fluid.remaining_work -= (at - now) * speed;
                open.insert(fluid);
                now = at;
            }
            None => {
                now = ends;
                total += ends - jobs[fluid.job].arrives_at.0;
            }
        }
    }
}
