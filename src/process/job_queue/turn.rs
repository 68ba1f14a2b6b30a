//! One turn of the queue: which jobs start now.

use {
    super::{
        Backfill, Claim, Estimate, Explanation, HeldOn, JobQueue, JobStart, JobWait, Rank, RankCx,
        RunningJob, TurnCx, TurnOutcome, WaitReason, WaitingJob,
        claim::claim_earliest,
        fitness::{self, FleetFit},
    },
    crate::{
        prelude::*,
        request::{FleetView, PlacementAsk, PlacementDecision},
        version::{Account, Class, Shape},
    },
    std::collections::BTreeMap,
};

/// The most jobs that one turn has the policy place or fail to place.
const MAX_TRIES: usize = 256;

/// The longest time that a normal job is held back for a better place.
const MAX_NORMAL_HOLD: Duration = Duration::from_secs(30 * 60);

/// The longest time that a deferrable job is held back for a better place.
const MAX_DEFERRABLE_HOLD: Duration = Duration::from_secs(10 * 3600);

/// Jobs that get the same answer from the policy within a turn.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct AskKey {
    account: AccountName,
    gang: Shape,
    evictable: bool,
    class: Class,
    backfills: bool,
}

/// A turn under way.
pub(super) struct Turn<'a> {
    pub(super) queue: &'a mut JobQueue,
    pub(super) cx: TurnCx<'a>,
    /// The fleet beside all claims.
    pub(super) beside: FleetView,
    claims: Vec<Claim>,
    stuck: BTreeMap<AskKey, Explanation>,
    tries: usize,
    blocked: bool,
    pub(super) outcome: TurnOutcome,
}

impl JobQueue {
    /// Decides which jobs start now. A job that starts counts as running from here on, until it is
    /// put back, removed or finished.
    pub fn turn(
        &mut self,
        mut cx: TurnCx<'_>,
    ) -> TurnOutcome {
        let running = self.running.values().chain(&self.others);
        self.usage.count(cx.now, cx.document, running);
        cx.view.close(&self.ejections.ejected(cx.now));
        let claims = self.others_claims.clone();
        let mut beside = cx.view.clone();
        for claim in &claims {
            beside.claim(&claim.workers);
        }
        self.claim = None;
        let turn = Turn {
            queue: self,
            beside,
            claims,
            cx,
            stuck: BTreeMap::new(),
            tries: 0,
            blocked: false,
            outcome: TurnOutcome::default(),
        };
        turn.run()
    }
}

impl Turn<'_> {
    fn run(mut self) -> TurnOutcome {
        let order = self.order();
        let queued = order.len();
        for (i, id) in order.into_iter().enumerate() {
            let Some(job) = self.queue.waiting.get(&id).cloned() else {
                continue;
            };
            let explanation = self.look_at(&job, i + 1, queued);
            if let Some(explanation) = explanation {
                self.note_wait(id, explanation);
            }
        }
        self.outcome
    }

    /// Keeps why a job waits.
    fn note_wait(
        &mut self,
        job: JobId,
        explanation: Explanation,
    ) {
        let before = self.queue.explanations.get(&job);
        let same = before.is_some_and(|b| b.waits_for.is_like(&explanation.waits_for));
        if !same {
            self.outcome.waits.push(JobWait {
                job,
                explanation: explanation.clone(),
            });
        }
        self.queue.explanations.insert(job, explanation);
    }

    /// Returns the waiting jobs in the order of the rules.
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
            waited: self.cx.now.since(job.since),
            estimate,
            usage: self.queue.usage.of(&job.account),
            guaranteed: account.map_or(0, Account::guaranteed_accelerators),
            share: account.map_or(1, |a| a.share),
            completion_weight: self.cx.document.completion_weight,
            fragmentation_weight: self.cx.document.fragmentation_weight,
        })
    }

    /// Estimates how long a job still runs.
    fn estimate(
        &self,
        job: &WaitingJob,
    ) -> Estimate {
        let kind = &job.kind;
        let estimates = &self.queue.estimates;
        if job.progress.is_zero() {
            estimates.expect(&job.account, &kind.name, kind.run_time)
        } else {
            estimates.remaining(&job.account, &kind.name, kind.run_time, job.progress)
        }
    }

    /// Starts a job, or says why it waits.
    fn look_at(
        &mut self,
        job: &WaitingJob,
        position: usize,
        queued: usize,
    ) -> Option<Explanation> {
        let wait = |reason| Some(Explanation::waiting(reason, position, queued));
        if let Some(reason) = self.outside_reason(job) {
            return wait(reason);
        }
        if self.blocked || self.tries >= MAX_TRIES {
            return wait(WaitReason::Order);
        }
        let backfills = self.backfills(job);
        let key = AskKey {
            account: job.account.clone(),
            gang: job.kind.gang,
            evictable: job.kind.is_evictable(),
            class: job.kind.class,
            backfills,
        };
        if let Some(known) = self.stuck.get(&key) {
            let mut explanation = known.clone();
            explanation.position = position;
            return Some(explanation);
        }
        self.tries += 1;
        let ask = self.ask(job);
        let decision = self.place(job, &ask, backfills);
        if decision.is_placed() {
            self.start(job, decision);
            return None;
        }
        let reason = self.wait_reason(job, &ask, &decision, backfills);
        let mut explanation = Explanation::waiting(reason, position, queued);
        explanation.passed_over = decision.passed_over;
        if !decision.held_back {
            self.stuck.insert(key, explanation.clone());
        }
        Some(explanation)
    }

    /// Returns a reason to wait that does not depend on what else runs.
    fn outside_reason(
        &self,
        job: &WaitingJob,
    ) -> Option<WaitReason> {
        if !self.cx.document.job_kinds.contains_key(&job.kind.name) {
            return Some(WaitReason::KindRemoved);
        }
        let needed = job.kind.gang.total_accelerators();
        let running = self.queue.usage.of(&job.account).running;
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

    fn ask(
        &self,
        job: &WaitingJob,
    ) -> PlacementAsk {
        let waited = self.cx.now.since(job.since);
        let estimate = self.estimate(job);
        let max_hold = match job.kind.class {
            Class::Urgent => Duration::ZERO,
            Class::Normal => MAX_NORMAL_HOLD,
            Class::Deferrable => MAX_DEFERRABLE_HOLD,
        };
        PlacementAsk {
            account: job.account.clone(),
            gang: job.kind.gang,
            class: job.kind.class,
            evictable: job.kind.is_evictable(),
            waited: waited.as_secs_f64() / estimate.typical.as_secs_f64().max(1.0),
            may_hold: waited < max_hold && self.has_running(),
            completion_weight: self.cx.document.completion_weight,
            fragmentation_weight: self.cx.document.fragmentation_weight,
            mix: self.cx.mix.clone(),
        }
    }

    /// Tells whether anything runs that may give a better place when it ends.
    fn has_running(&self) -> bool {
        !self.queue.running.is_empty() || !self.queue.others.is_empty()
    }

    /// Tells whether a job is expected to end before every claim.
    fn backfills(
        &self,
        job: &WaitingJob,
    ) -> bool {
        let estimate = self.estimate(job);
        let end = self.cx.now + Millis::from(estimate.upper);
        self.claims.iter().all(|c| end <= c.at)
    }

    /// Has the policy place a job, on workers where it has not failed if there are some.
    fn place(
        &self,
        job: &WaitingJob,
        ask: &PlacementAsk,
        backfills: bool,
    ) -> PlacementDecision {
        let view = if backfills {
            &self.cx.view
        } else {
            &self.beside
        };
        let failed_on = self.queue.ejections.failed_on(job.id);
        if !failed_on.is_empty() {
            let mut elsewhere = view.clone();
            elsewhere.close(&failed_on);
            let decision = self.cx.policy.place(ask, &elsewhere);
            if decision.is_placed() {
                return decision;
            }
        }
        self.cx.policy.place(ask, view)
    }

    fn start(
        &mut self,
        job: &WaitingJob,
        decision: PlacementDecision,
    ) {
        self.cx.view.take(&decision.taken);
        self.beside.take(&decision.taken);
        let held = decision.taken.iter().map(|t| HeldOn {
            upstream: self.cx.view.name_of(t.worker).clone(),
            accelerators: t.accelerators,
            plain_tasks: t.plain_tasks,
        });
        let running = RunningJob {
            id: job.id,
            account: job.account.clone(),
            kind: job.kind.clone(),
            held: held.collect(),
            started: self.cx.now,
            waited_since: job.since,
            progress: job.progress,
            gives_way: false,
        };
        self.queue
            .usage
            .started(&job.account, running.accelerators());
        self.queue.waiting.remove(&job.id);
        self.queue.explanations.remove(&job.id);
        self.queue.running.insert(job.id, running);
        self.outcome.starts.push(JobStart {
            job: job.id,
            decision,
        });
    }

    /// Says why a job that was not placed waits, and does what the rules say to get it started.
    fn wait_reason(
        &mut self,
        job: &WaitingJob,
        ask: &PlacementAsk,
        decision: &PlacementDecision,
        backfills: bool,
    ) -> WaitReason {
        if decision.held_back {
            return WaitReason::BetterPlace {
                fragmentation_rise: decision.fragmentation_rise,
            };
        }
        if let Some(by) = self.claimed_by(ask, backfills) {
            return WaitReason::Claimed { by };
        }
        if let Some(jobs) = self.make_way(job, ask) {
            return WaitReason::GivingWay { jobs };
        }
        match self.cx.rules.backfill() {
            Backfill::Always => {}
            Backfill::Never => self.blocked = true,
            Backfill::BesideClaim => return self.claim(job, ask),
        }
        WaitReason::Room {
            claimed_for_ms: None,
        }
    }

    /// Returns the job whose claim alone keeps another one waiting.
    fn claimed_by(
        &self,
        ask: &PlacementAsk,
        backfills: bool,
    ) -> Option<JobId> {
        let claim = self.claims.first()?;
        let fits = !backfills && self.cx.policy.place(ask, &self.cx.view).is_placed();
        fits.then_some(claim.job)
    }

    /// Claims workers for the first job of this queue that waits for room.
    fn claim(
        &mut self,
        job: &WaitingJob,
        ask: &PlacementAsk,
    ) -> WaitReason {
        let claims = job.kind.class != Class::Deferrable && !job.kind.gang.is_plain();
        let free = self.queue.claim.is_none() && claims;
        let running = self.queue.running.values().chain(&self.queue.others);
        let estimates = &self.queue.estimates;
        let claim = free
            .then(|| claim_earliest(self.cx.now, job.id, ask, &self.beside, running, estimates));
        let Some(claim) = claim.flatten() else {
            return WaitReason::Room {
                claimed_for_ms: None,
            };
        };
        let claimed_for_ms = Some(claim.at.since(self.cx.now).as_millis() as u64);
        self.hold_claim(claim);
        WaitReason::Room { claimed_for_ms }
    }

    /// Keeps workers for a waiting job for the rest of the turn.
    pub(super) fn hold_claim(
        &mut self,
        claim: Claim,
    ) {
        self.beside.claim(&claim.workers);
        self.claims.push(claim.clone());
        self.queue.claim = Some(claim);
        self.stuck.clear();
    }
}
