//! An observer of all workers that checks what they run against the scheduler's guarantees.

use {
    limpetquay::{
        connection::EndKind,
        request::{Resources, RunRef, StepJob, StepJobId, SubtaskId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The end of a run, as observed at a worker incarnation.
#[derive(Clone, Debug)]
pub struct ObservedEnd {
    pub run: RunRef,
    pub kind: EndKind,
    pub at: u64,
    pub incarnation: u64,
    pub number: u64,
    /// How often the worker's lease had expired by then.
    pub lease_expiries: u64,
    /// Whether it was acknowledged before the lease expired again. Only such an end must count, as
    /// a success or as a used attempt, for all later starts.
    pub acknowledged_before_expiry: bool,
    pub acknowledged: bool,
}

/// The starts and ends observed at all workers, and the violations found in them.
#[derive(Default)]
pub struct Oracle {
    pub jobs: BTreeMap<StepJobId, StepJob>,
    pub cancelled: BTreeSet<StepJobId>,
    pub running: BTreeMap<SubtaskId, Vec<(u64, RunRef)>>,
    pub starts: Vec<(u64, RunRef)>,
    pub ends: Vec<ObservedEnd>,
    pub violations: Vec<String>,
}

impl Oracle {
    /// Records and checks a start at a worker incarnation, with the other runs there.
    pub fn record_start(
        &mut self,
        now: u64,
        incarnation: u64,
        run: RunRef,
        others: &[RunRef],
        capacity: Resources,
    ) {
        let Some(job) = self.jobs.get(&run.subtask.job) else {
            self.violations
                .push(format!("{now}: {run} was never accepted"));
            return;
        };
        let Some(step) = job.steps.get(usize::from(run.subtask.step)) else {
            self.violations.push(format!(
                "{now}: {run} is of a step that its job does not have"
            ));
            return;
        };
        let is_running = self
            .running
            .get(&run.subtask)
            .is_some_and(|r| !r.is_empty());
        if is_running {
            self.violations.push(format!(
                "{now}: {run} runs twice: {:?}",
                self.running[&run.subtask]
            ));
        }
        for before in &step.after {
            for index in 0..job.steps[usize::from(*before)].count {
                let needed = SubtaskId {
                    step: *before,
                    index,
                    ..run.subtask
                };
                // The success of one member of a gang counts for the whole gang.
                let is_gang = job.steps[usize::from(*before)].gang;
                let same = |e: &ObservedEnd| {
                    let subtask = e.run.subtask;
                    let is_step = (subtask.job, subtask.step) == (needed.job, needed.step);
                    subtask == needed || is_gang && is_step
                };
                let is_done = self.ends.iter().any(|e| e.kind == EndKind::Done && same(e));
                if !is_done {
                    self.violations
                        .push(format!("{now}: {run} started before {needed} was done"));
                }
            }
        }
        let demands = others.iter().chain([&run]).filter_map(|r| {
            let job = self.jobs.get(&r.subtask.job)?;
            Some(job.steps.get(usize::from(r.subtask.step))?.demand)
        });
        let all = demands.fold(Resources::default(), |a, b| a + b);
        if !all.fits_in(&capacity) {
            self.violations.push(format!(
                "{now}: {run} exceeds the capacity of its worker: {all:?}"
            ));
        }
        self.running
            .entry(run.subtask)
            .or_default()
            .push((incarnation, run));
        self.starts.push((now, run));
    }

    /// Records an end at a worker incarnation.
    pub fn record_end(
        &mut self,
        end: ObservedEnd,
    ) {
        if let Some(runs) = self.running.get_mut(&end.run.subtask) {
            runs.retain(|(incarnation, run)| (*incarnation, *run) != (end.incarnation, end.run));
        }
        self.ends.push(end);
    }

    /// Records the crash of a worker incarnation.
    pub fn record_crash(
        &mut self,
        incarnation: u64,
    ) {
        for runs in self.running.values_mut() {
            runs.retain(|(i, _)| *i != incarnation);
        }
    }

    /// Records the acknowledgement of a worker incarnation's ends up to a number.
    pub fn record_acknowledged(
        &mut self,
        incarnation: u64,
        acknowledged_end: u64,
        lease_expiries: u64,
    ) {
        for end in self.ends.iter_mut().filter(|e| {
            e.incarnation == incarnation && e.number <= acknowledged_end && !e.acknowledged
        }) {
            end.acknowledged = true;
            end.acknowledged_before_expiry = end.lease_expiries == lease_expiries;
        }
    }

    /// Checks the whole history: no start after an acknowledged success or after the last attempt.
    pub fn check_history(&mut self) {
        for end in self
            .ends
            .iter()
            .filter(|e| e.kind == EndKind::Done && e.acknowledged_before_expiry)
        {
            let later = self
                .starts
                .iter()
                .find(|(at, run)| run.subtask == end.run.subtask && *at > end.at);
            if let Some((at, run)) = later {
                self.violations.push(format!(
                    "{at}: {run} started after {} was done at {}",
                    end.run, end.at
                ));
            }
        }
        for (at, run) in &self.starts {
            let failed = self.ends.iter().filter(|e| {
                e.acknowledged_before_expiry
                    && e.kind == EndKind::Failed
                    && e.run.subtask == run.subtask
                    && e.at < *at
            });
            let attempts = self.jobs[&run.subtask.job].attempts as usize;
            if failed.count() >= attempts {
                self.violations.push(format!(
                    "{at}: {run} started after its attempts were used up"
                ));
            }
        }
    }
}
