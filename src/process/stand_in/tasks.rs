//! Tasks at a stand-in upstream.

use {
    crate::{
        connection::query_value,
        prelude::*,
        process::platform::{TaskEnd, TaskId, TaskStart, TaskState},
    },
    std::collections::BTreeMap,
};

/// The run time of a task whose payload has no `run_ms`, in milliseconds.
const DEFAULT_RUN_MS: u64 = 500;

/// One running or ended task.
struct Task {
    start: TaskStart,
    run_ms: u64,
    started_at: Millis,
    lease_expires_at: Millis,
    checkpoint_ms: u64,
    end: Option<TaskEnd>,
}

/// The tasks of one worker. A task's progress and the expiry of its lease are computed when it is
/// accessed.
#[derive(Default)]
pub(super) struct Tasks {
    tasks: BTreeMap<TaskId, Task>,
}

impl Tasks {
    /// Starts a task. Starting the same task again has no effect.
    pub(super) fn start(
        &mut self,
        now: Millis,
        start: TaskStart,
    ) {
        let payload = String::from_utf8_lossy(&start.payload).into_owned();
        let run_ms = query_value(&payload, "run_ms").and_then(|v| v.parse().ok());
        let is_failing = query_value(&payload, "fail").is_some();
        let end = is_failing.then(|| TaskEnd::Failed("the payload asks for a failure".into()));
        self.tasks.entry(start.id).or_insert_with(|| Task {
            run_ms: run_ms.unwrap_or(DEFAULT_RUN_MS),
            started_at: now,
            lease_expires_at: now + Millis(start.lease_ms),
            checkpoint_ms: start.progress_ms,
            start,
            end,
        });
    }

    /// Renews a task's lease and returns its state.
    pub(super) fn renew(
        &mut self,
        now: Millis,
        id: TaskId,
    ) -> TaskState {
        let Some(task) = self.tasks.get_mut(&id) else {
            return TaskState::Unknown;
        };
        task.advance(now);
        task.lease_expires_at = now + Millis(task.start.lease_ms);
        match &task.end {
            Some(end) => TaskState::Ended(end.clone()),
            None => TaskState::Running { usage_percent: 100 },
        }
    }

    /// Returns the remaining run time of a running task.
    pub(super) fn remaining(
        &self,
        now: Millis,
        id: TaskId,
    ) -> Option<Duration> {
        let task = self.tasks.get(&id).filter(|t| t.end.is_none())?;
        let remaining_ms = task.run_ms.saturating_sub(task.progress_ms(now));
        Some(Duration::from_millis(remaining_ms))
    }

    /// Checkpoints a running task and returns the progress in the task's last checkpoint, in
    /// milliseconds.
    pub(super) fn checkpoint(
        &mut self,
        now: Millis,
        id: TaskId,
    ) -> Option<u64> {
        let task = self.tasks.get_mut(&id)?;
        task.advance(now);
        if task.end.is_none() {
            task.checkpoint_ms = task.progress_ms(now);
        }
        Some(task.checkpoint_ms)
    }

    /// Stops a task at its last checkpoint.
    pub(super) fn stop(
        &mut self,
        now: Millis,
        id: TaskId,
    ) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.advance(now);
            task.stop();
        }
    }

    /// Returns the accelerators used by running tasks.
    pub(super) fn in_use(
        &mut self,
        now: Millis,
    ) -> AcceleratorSet {
        let mut in_use = AcceleratorSet::empty();
        for task in self.tasks.values_mut() {
            task.advance(now);
            if task.end.is_none() {
                in_use = in_use.union(task.start.accelerators);
            }
        }
        in_use
    }
}

impl Task {
    /// Ends the task if it has completed its run time or its lease has expired.
    fn advance(
        &mut self,
        now: Millis,
    ) {
        if self.end.is_some() {
            return;
        }
        let is_lease_expired = now >= self.lease_expires_at;
        let ran_until = if is_lease_expired {
            self.lease_expires_at
        } else {
            now
        };
        if self.progress_ms(ran_until) >= self.run_ms {
            let id = self.start.id;
            let result = format!("{} member {} finished", self.start.kind, id.member);
            self.end = Some(TaskEnd::Finished(result.into_bytes().into()));
        } else if is_lease_expired {
            self.stop();
        }
    }

    fn stop(&mut self) {
        let progress_ms = self.checkpoint_ms;
        self.end.get_or_insert(TaskEnd::Stopped { progress_ms });
    }

    fn progress_ms(
        &self,
        now: Millis,
    ) -> u64 {
        self.start.progress_ms + now.0.saturating_sub(self.started_at.0)
    }
}
