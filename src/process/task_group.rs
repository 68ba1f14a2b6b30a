//! Tasks that end with their owner.

use {
    compio::runtime::{JoinHandle, spawn},
    std::{cell::RefCell, future::Future},
};

/// The number of kept handles at which those of finished tasks are dropped.
const PRUNE_THRESHOLD: usize = 32;

/// Tasks that are cancelled when the group is dropped.
#[derive(Default)]
pub struct TaskGroup {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl TaskGroup {
    /// Starts a task.
    pub fn spawn<F>(
        &self,
        task: F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let handle = spawn(task);
        let mut tasks = self.tasks.borrow_mut();
        if tasks.len() >= PRUNE_THRESHOLD && tasks.len() == tasks.capacity() {
            tasks.retain(|t| !t.is_finished());
        }
        tasks.push(handle);
    }

    /// Cancels all tasks at once.
    pub fn cancel(&self) {
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        drop(tasks);
    }
}
