//! Background tasks bound to the lifetime of their owner.

use {
    compio::runtime::{JoinHandle, spawn},
    std::{cell::RefCell, future::Future},
};

/// The number of stored task handles from which on finished tasks are removed instead of growing
/// the vector.
const PRUNE_THRESHOLD: usize = 32;

/// A set of tasks that are cancelled when the group is dropped.
#[derive(Default)]
pub struct TaskGroup {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl TaskGroup {
    /// Starts a task and adds it to the group.
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

    /// Cancels all tasks of the group.
    pub fn cancel(&self) {
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        drop(tasks);
    }
}
