//! One scheduling pass over the queue, which decides the jobs that start now.

use {
    super::{
        Backfill, Claim, Estimate, Explanation, HeldCapacity, JobQueue, JobStart, JobWait, PassCx,
        PassOutcome, Rank, RankCx, RunningJob, WaitReason, WaitingJob,
        claim::claim_earliest,
        fitness::{self, FleetFit},
    },
    crate::{
        prelude::*,
        request::{FleetView, GangPlacementRequest, PlacementDecision},
        version::{Account, Class, Shape},
    },
    std::collections::BTreeMap,
};

/// The most jobs that one pass tries to place; the jobs after them wait for the next pass.
const MAX_PLACEMENT_ATTEMPTS: usize = 256;

/// The longest time for which a normal job is held back for a better placement.
const MAX_NORMAL_HOLD_BACK: Duration = Duration::from_secs(30 * 60);

/// The longest time for which a deferrable job is held back for a better placement.
const MAX_DEFERRABLE_HOLD_BACK: Duration = Duration::from_secs(10 * 3600);

/// The properties on which it depends whether a job can be placed within a pass. When one job could
/// not be placed, others with the same key are not tried.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlacementKey {
    account: AccountName,
    gang: Shape,
    evictable: bool,
    class: Class,
    ends_before_claims: bool,
}

/// A scheduling pass in progress.
pub(super) struct SchedulingPass<'a> {
    pub(super) queue: &'a mut JobQueue,
    pub(super) cx: PassCx<'a>,
    /// The fleet with the workers of all claims marked as claimed.
    pub(super) unclaimed_view: FleetView,
    claims: Vec<Claim>,
    unplaceable: BTreeMap<PlacementKey, Explanation>,
    attempts: usize,
    /// Whether an earlier job waits that the rules let no other job overtake.
    blocked: bool,
    pub(super) outcome: PassOutcome,
}

impl JobQueue {
    /// Decides which jobs start now. A job that starts counts as running from here on, until it is
    /// requeued, removed or finished.
    pub fn run_pass(
        &mut self,
        mut cx: PassCx<'_>,
    ) -> PassOutcome {
        let running = self.running.values().chain(&self.other_running);
        self.usage.update(cx.now, cx.document, running);
        cx.view.exclude(&self.ejections.ejected(cx.now));
        let claims = self.other_claims.clone();
        let mut unclaimed_view = cx.view.clone();
        for claim in &claims {
            unclaimed_view.mark_claimed(&claim.workers);
        }
        self.claim = None;
        let pass = SchedulingPass {
            queue: self,
            unclaimed_view,
            claims,
            cx,
            unplaceable: BTreeMap::new(),
            attempts: 0,
            blocked: false,
            outcome: PassOutcome::default(),
        };
        pass.run()
    }
}

impl SchedulingPass<'_> {
    fn run(mut self) -> PassOutcome {
        let order = self.order();
        let queued = order.len();
        for (i, id) in order.into_iter().enumerate() {
            let Some(job) = self.queue.waiting.get(&id).cloned() else {
                continue;
            };
            let explanation = self.schedule(&job, i + 1, queued);
            if let Some(explanation) = explanation {
                self.record_wait(id, explanation);
            }
        }
        self.outcome
    }

    /// Stores why a job waits, and adds it to the outcome if the kind of reason has changed.
    fn record_wait(
        &mut self,
        job: JobId,
        explanation: Explanation,
    ) {
        let before = self.queue.explanations.get(&job);
        let same = before.is_some_and(|b| b.waits_for.is_same_kind(&explanation.waits_for));
        if !same {
            self.outcome.waits.push(JobWait {
                job,
                explanation: explanation.clone(),
            });
        }
        self.queue.explanations.insert(job, explanation);
    }

    /// Returns the waiting jobs, ordered by rank.
    fn order(&self) -> Vec<JobId> {
        let waiting = self.queue.waiting.values();
        let mut ranks: Vec<Rank> = waiting.map(|job| self.rank(job)).collect();
        ranks.sort_by(|a, b| a.partial_cmp(b).unwrap_or_else(|| a.job.cmp(&b.job)));
        ranks.into_iter().map(|r| JobId(r.job)).collect()
    }

    fn rank(
        &self,
        job: &WaitingJob,
    ) -> Rank {
        let account = self.cx.document.accounts.get(&job.account);
        let estimate = self.estimate(job);
        self.cx.rules.rank(&RankCx {
            job,
            waited: self.cx.now.since(job.waiting_since),
            estimate,
            usage: self.queue.usage.of(&job.account),
            guaranteed_accelerators: account.map_or(0, Account::guaranteed_accelerators),
            share: account.map_or(1, |a| a.share),
            completion_weight: self.cx.document.completion_weight,
            fragmentation_weight: self.cx.document.fragmentation_weight,
        })
    }

    /// Estimates how long a job has yet to run, given its last checkpoint.
    fn estimate(
        &self,
        job: &WaitingJob,
    ) -> Estimate {
        let kind = &job.kind;
        let estimates = &self.queue.estimates;
        if job.progress.is_zero() {
            estimates.run_time(&job.account, &kind.name, kind.run_time)
        } else {
            estimates.remaining_time(&job.account, &kind.name, kind.run_time, job.progress)
        }
    }

    /// Starts a job, or returns why it waits.
    fn schedule(
        &mut self,
        job: &WaitingJob,
        position: usize,
        queued: usize,
    ) -> Option<Explanation> {
        let wait = |reason| Some(Explanation::waiting(reason, position, queued));
        if let Some(reason) = self.ineligible_reason(job) {
            return wait(reason);
        }
        if self.blocked || self.attempts >= MAX_PLACEMENT_ATTEMPTS {
            return wait(WaitReason::Order);
        }
        let ends_before_claims = self.ends_before_claims(job);
        let key = PlacementKey {
            account: job.account.clone(),
            gang: job.kind.gang,
            evictable: job.kind.is_evictable(),
            class: job.kind.class,
            ends_before_claims,
        };
        if let Some(known) = self.unplaceable.get(&key) {
            let mut explanation = known.clone();
            explanation.position = position;
            return Some(explanation);
        }
        self.attempts += 1;
        let request = self.placement_request(job);
        let decision = self.place(job, &request, ends_before_claims);
        if decision.is_placed() {
            self.start(job, decision);
            return None;
        }
        let reason = self.wait_reason(job, &request, &decision, ends_before_claims);
        let mut explanation = Explanation::waiting(reason, position, queued);
        explanation.passed_over = decision.passed_over;
        if !decision.held_back {
            self.unplaceable.insert(key, explanation.clone());
        }
        Some(explanation)
    }

    /// Returns a reason to wait that holds whatever capacity is free: the job's kind, the account's
    /// quota or the size of the fleet.
    fn ineligible_reason(
        &self,
        job: &WaitingJob,
    ) -> Option<WaitReason> {
        if !self.cx.document.job_kinds.contains_key(&job.kind.name) {
            return Some(WaitReason::KindRemoved);
        }
        let needed = job.kind.gang.total_accelerators();
        let running = self.queue.usage.of(&job.account).running_accelerators;
        let quota = self.cx.document.accounts.get(&job.account);
        let quota = quota.map_or(0, |a| a.quota_accelerators);
        if running + needed > quota {
            return Some(WaitReason::Quota {
                running,
                needed,
                quota,
            });
        }
        match fitness::check(&self.cx.view.fleet, &job.kind.gang) {
            FleetFit::Fits => None,
            FleetFit::Lacks(what) => Some(WaitReason::Machines { what }),
        }
    }

    fn placement_request(
        &self,
        job: &WaitingJob,
    ) -> GangPlacementRequest {
        let waited = self.cx.now.since(job.waiting_since);
        let estimate = self.estimate(job);
        let max_hold = match job.kind.class {
            Class::Urgent => Duration::ZERO,
            Class::Normal => MAX_NORMAL_HOLD_BACK,
            Class::Deferrable => MAX_DEFERRABLE_HOLD_BACK,
        };
        GangPlacementRequest {
            account: job.account.clone(),
            gang: job.kind.gang,
            class: job.kind.class,
            evictable: job.kind.is_evictable(),
            wait_ratio: waited.as_secs_f64() / estimate.typical.as_secs_f64().max(1.0),
            may_hold_back: waited < max_hold && self.has_running_jobs(),
            completion_weight: self.cx.document.completion_weight,
            fragmentation_weight: self.cx.document.fragmentation_weight,
            mix: self.cx.mix.clone(),
        }
    }

    /// Returns whether any job runs, whose end may allow a better placement.
    fn has_running_jobs(&self) -> bool {
        !self.queue.running.is_empty() || !self.queue.other_running.is_empty()
    }

    /// Returns whether a job is expected to end before the time of every claim, by the upper
    /// estimate of its run time.
    fn ends_before_claims(
        &self,
        job: &WaitingJob,
    ) -> bool {
        let estimate = self.estimate(job);
        let end = self.cx.now + Millis::from(estimate.upper);
        self.claims.iter().all(|c| end <= c.at)
    }

    /// Places a job by the policy, if possible on workers on which it has not failed.
    fn place(
        &self,
        job: &WaitingJob,
        request: &GangPlacementRequest,
        ends_before_claims: bool,
    ) -> PlacementDecision {
        let view = if ends_before_claims {
            &self.cx.view
        } else {
            &self.unclaimed_view
        };
        let failed_on = self.queue.ejections.failed_workers(job.id);
        if !failed_on.is_empty() {
            let mut elsewhere = view.clone();
            elsewhere.exclude(&failed_on);
            let decision = self.cx.policy.place(request, &elsewhere);
            if decision.is_placed() {
                return decision;
            }
        }
        self.cx.policy.place(request, view)
    }

    fn start(
        &mut self,
        job: &WaitingJob,
        decision: PlacementDecision,
    ) {
        self.cx.view.allocate(&decision.allocations);
        self.unclaimed_view.allocate(&decision.allocations);
        let held = decision.allocations.iter().map(|a| HeldCapacity {
            upstream: self.cx.view.upstream_of(a.worker).clone(),
            accelerators: a.accelerators,
            plain_tasks: a.plain_tasks,
        });
        let running = RunningJob {
            id: job.id,
            account: job.account.clone(),
            kind: job.kind.clone(),
            held: held.collect(),
            started_at: self.cx.now,
            waited_since: job.waiting_since,
            progress: job.progress,
            preempted: false,
        };
        self.queue
            .usage
            .add_running(&job.account, running.accelerators());
        self.queue.waiting.remove(&job.id);
        self.queue.explanations.remove(&job.id);
        self.queue.running.insert(job.id, running);
        self.outcome.starts.push(JobStart {
            job: job.id,
            decision,
        });
    }

    /// Returns why a job that was not placed waits. As far as the rules allow, it preempts jobs or
    /// claims workers for it.
    fn wait_reason(
        &mut self,
        job: &WaitingJob,
        request: &GangPlacementRequest,
        decision: &PlacementDecision,
        ends_before_claims: bool,
    ) -> WaitReason {
        if decision.held_back {
            return WaitReason::BetterPlace {
                fragmentation_rise: decision.fragmentation_rise,
            };
        }
        if let Some(by) = self.claimed_by(request, ends_before_claims) {
            return WaitReason::Claimed { by };
        }
        if let Some(jobs) = self.preempt_for(job, request) {
            return WaitReason::Preemption { jobs };
        }
        match self.cx.rules.backfill() {
            Backfill::Always => {}
            Backfill::Never => self.blocked = true,
            Backfill::WithoutDelay => return self.claim_workers(job, request),
        }
        WaitReason::Capacity {
            claimed_for_ms: None,
        }
    }

    /// Returns the job that has the first claim, if the requested gang would fit without the claims.
    fn claimed_by(
        &self,
        request: &GangPlacementRequest,
        ends_before_claims: bool,
    ) -> Option<JobId> {
        let claim = self.claims.first()?;
        let fits = !ends_before_claims && self.cx.policy.place(request, &self.cx.view).is_placed();
        fits.then_some(claim.job)
    }

    /// Claims workers for a job that waits for capacity, if no other job of this queue has a claim.
    /// Deferrable jobs and plain tasks get none.
    fn claim_workers(
        &mut self,
        job: &WaitingJob,
        request: &GangPlacementRequest,
    ) -> WaitReason {
        let can_claim = job.kind.class != Class::Deferrable && !job.kind.gang.is_plain();
        let may_claim = self.queue.claim.is_none() && can_claim;
        let running = self.queue.running.values().chain(&self.queue.other_running);
        let estimates = &self.queue.estimates;
        let claim = may_claim.then(|| {
            claim_earliest(
                self.cx.now,
                job.id,
                request,
                &self.unclaimed_view,
                running,
                estimates,
            )
        });
        let Some(claim) = claim.flatten() else {
            return WaitReason::Capacity {
                claimed_for_ms: None,
            };
        };
        let claimed_for_ms = Some(claim.at.since(self.cx.now).as_millis() as u64);
        self.record_claim(claim);
        WaitReason::Capacity { claimed_for_ms }
    }

    /// Records a claim as the one of this queue and reserves its workers for the rest of the pass.
    pub(super) fn record_claim(
        &mut self,
        claim: Claim,
    ) {
        self.unclaimed_view.mark_claimed(&claim.workers);
        self.claims.push(claim.clone());
        self.queue.claim = Some(claim);
        self.unplaceable.clear();
    }
}
