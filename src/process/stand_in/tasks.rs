//! The tasks of a stand-in upstream.

use {
    crate::{
        connection::query_value,
        prelude::*,
        process::platform::{TaskEnd, TaskId, TaskStart, TaskState},
    },
    std::collections::BTreeMap,
};

/// How long a task runs when its payload does not say, in milliseconds.
const DEFAULT_RUN_MS: u64 = 500;

/// One task.
struct Task {
    start: TaskStart,
    run_ms: u64,
    started: Millis,
    lease_until: Millis,
    checkpoint_ms: u64,
    end: Option<TaskEnd>,
}

/// All tasks of one worker. What time does to them is worked out when they are looked at.
#[derive(Default)]
pub(super) struct Tasks {
    tasks: BTreeMap<TaskId, Task>,
}

impl Tasks {
    /// Starts a task; starting it again changes nothing.
    pub(super) fn start(
        &mut self,
        now: Millis,
        start: TaskStart,
    ) {
        let text = String::from_utf8_lossy(&start.payload).into_owned();
        let run_ms = query_value(&text, "run_ms").and_then(|v| v.parse().ok());
        let fails = query_value(&text, "fail").is_some();
        let end = fails.then(|| TaskEnd::Failed("the payload asks for a failure".into()));
        self.tasks.entry(start.id).or_insert_with(|| Task {
            run_ms: run_ms.unwrap_or(DEFAULT_RUN_MS),
            started: now,
            lease_until: now + Millis(start.lease_ms),
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
        task.lease_until = now + Millis(task.start.lease_ms);
        match &task.end {
            Some(end) => TaskState::Ended(end.clone()),
            None => TaskState::Running { usage_percent: 100 },
        }
    }

    /// Returns how long a running task still needs.
    pub(super) fn remaining(
        &self,
        now: Millis,
        id: TaskId,
    ) -> Option<Duration> {
        let task = self.tasks.get(&id).filter(|t| t.end.is_none())?;
        let left = task.run_ms.saturating_sub(task.progress_ms(now));
        Some(Duration::from_millis(left))
    }

    /// Checkpoints a running task and returns the progress that the checkpoint holds.
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

    /// Stops a task.
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

    /// Returns the accelerators that running tasks use.
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
    /// Ends the task when it has run its time or its lease has lapsed.
    fn advance(
        &mut self,
        now: Millis,
    ) {
        if self.end.is_some() {
            return;
        }
        let lapsed = now >= self.lease_until;
        let seen_until = if lapsed { self.lease_until } else { now };
        if self.progress_ms(seen_until) >= self.run_ms {
            let id = self.start.id;
            let result = format!("{} member {} finished", self.start.kind, id.member);
            self.end = Some(TaskEnd::Finished(result.into_bytes().into()));
        } else if lapsed {
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
        self.start.progress_ms + now.0.saturating_sub(self.started.0)
    }
}
