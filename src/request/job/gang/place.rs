//! Waits until the queue places the job, and reports the job's gangs to the queue.

use {
    super::{JobRun, Start},
    crate::{
        prelude::*,
        process::job_queue::{HeldCapacity, RunningJob, WaitingJob},
        request::job::PlacementDecision,
    },
    futures_util::{
        future::{Either, select},
        pin_mut,
    },
};

impl Start<'_> {
    /// Waits until the queue places the job on workers, and logs the decision; `None` when the
    /// job's task is interrupted first.
    pub(super) async fn place(
        &self,
        run: &JobRun,
        progress_ms: u64,
    ) -> Option<PlacementDecision> {
        let placing = run.queue_handle.wait_for_placement(WaitingJob {
            id: self.spec.id,
            account: self.spec.account.clone(),
            kind: Rc::new(self.kind.clone()),
            waiting_since: run.waiting_since,
            progress: Duration::from_millis(progress_ms),
        });
        let interrupt = run.wait_for_interrupt();
        pin_mut!(placing, interrupt);
        let Either::Left((decision, _)) = select(placing, interrupt).await else {
            return None;
        };
        let members: Vec<&str> = decision.members.iter().map(UpstreamName::as_str).collect();
        tracing::info!(
            target: "decision",
            decision = "placement",
            job = %self.spec.id,
            term = %self.term,
            account = %self.spec.account,
            kind = %self.kind.name,
            gang = %self.kind.gang,
            chosen = %members.join(","),
            fragmentation_rise = decision.fragmentation_rise,
            passed_over = %serde_json::to_string(&decision.passed_over).unwrap_or_default(),
        );
        Some(decision)
    }
}

impl JobRun {
    /// Registers an adopted gang with the queue as running on its workers; its capacity is
    /// registered as zero.
    pub(super) fn register_adopted(&self) {
        let (Some(placed), Some(kind)) = (&self.placed, self.kind()) else {
            return;
        };
        let live = self.entry.members.borrow().live(self.entry.clock.now());
        let guards = placed.pieces.iter();
        let workers = guards.filter_map(|p| live.iter().find(|u| u.guard_address == p.guard));
        let held = workers.map(|u| HeldCapacity {
            upstream: u.upstream.clone(),
            accelerators: AcceleratorSet::empty(),
            plain_tasks: 0,
        });
        self.queue_handle.adopt(RunningJob {
            id: self.spec.id,
            account: self.spec.account.clone(),
            kind: Rc::new(kind),
            held: held.collect(),
            started_at: self.entry.clock.now(),
            waited_since: self.waiting_since,
            progress: Duration::from_millis(self.progress_ms),
            preempted: false,
        });
    }

    /// Reports to the queue that the job failed on the worker of one piece.
    pub(super) fn report_failed_piece(
        &self,
        piece: u32,
    ) {
        let placed = self.placed.as_ref();
        let Some(piece) = placed.and_then(|p| p.pieces.get(piece as usize)) else {
            return;
        };
        let now = self.entry.clock.now();
        let live = self.entry.members.borrow().live(now);
        if let Some(worker) = live.iter().find(|u| u.guard_address == piece.guard) {
            self.queue_handle.record_failure(now, &worker.upstream);
        }
    }
}
