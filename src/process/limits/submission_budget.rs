//! Limits the memory of submissions that are being stored.

use {
    crate::{prelude::*, request::StepJobId},
    std::cell::Cell,
};

/// How long a stored submission counts at most until its record has been read from the ledger: longer than
/// any read that succeeds at all.
const MAX_READ_BACK_TIME: Duration = Duration::from_secs(10);

/// The bytes that submissions in progress hold, beside their bodies. A submission counts by what it was
/// decoded to, which may be many times larger than its body, until its job counts in the view of the
/// ledger.
#[derive(Debug)]
pub struct SubmissionBudget {
    max_bytes: usize,
    held: Cell<usize>,
    unread: RefCell<Vec<UnreadSubmission>>,
}

/// The bytes of one submission, which count until this value is dropped.
#[derive(Debug)]
pub struct HeldSubmission {
    budget: Rc<SubmissionBudget>,
    bytes: usize,
}

/// A submission that may have been stored and was not read yet.
#[derive(Debug)]
struct UnreadSubmission {
    id: StepJobId,
    bytes: usize,
    stored_at: Millis,
}

impl SubmissionBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held: Cell::default(),
            unread: RefCell::default(),
        }
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Admits a submission, unless it would exceed the budget beside others. A single one is admitted
    /// whatever its size.
    pub fn admit(
        self: &Rc<Self>,
        bytes: usize,
    ) -> Option<HeldSubmission> {
        let held = self.held.get();
        if held > 0 && held.saturating_add(bytes) > self.max_bytes {
            return None;
        }
        self.held.set(held.saturating_add(bytes));
        Some(HeldSubmission {
            budget: self.clone(),
            bytes,
        })
    }

    /// Releases the stored submissions that `is_read` finds in the view of the ledger.
    pub fn release_read<F>(
        &self,
        now: Millis,
        is_read: F,
    ) where
        F: Fn(StepJobId) -> bool,
    {
        self.unread.borrow_mut().retain(|u| {
            let is_held = !is_read(u.id) && now.since(u.stored_at) < MAX_READ_BACK_TIME;
            if !is_held {
                self.release(u.bytes);
            }
            is_held
        });
    }

    fn release(
        &self,
        bytes: usize,
    ) {
        self.held.set(self.held.get().saturating_sub(bytes));
    }
}

impl HeldSubmission {
    /// Makes the submission of a job that may have been stored at `now` count until it has been read.
    pub fn hold_until_read(
        mut self,
        id: StepJobId,
        now: Millis,
    ) {
        let bytes = std::mem::take(&mut self.bytes);
        self.budget.unread.borrow_mut().push(UnreadSubmission {
            id,
            bytes,
            stored_at: now,
        });
    }
}

impl Default for SubmissionBudget {
    /// Returns a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Drop for HeldSubmission {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
