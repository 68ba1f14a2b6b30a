//! Limits the memory of submissions that are being stored.

use {crate::prelude::*, std::cell::Cell};

/// The bytes that submissions in progress hold, beside their bodies. A submission counts by what it was
/// decoded to, which may be many times larger than its body.
#[derive(Debug)]
pub struct SubmissionBudget {
    max_bytes: usize,
    held: Cell<usize>,
}

/// The bytes of one submission, which count until this value is dropped.
#[derive(Debug)]
pub struct HeldSubmission {
    budget: Rc<SubmissionBudget>,
    bytes: usize,
}

impl SubmissionBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held: Cell::default(),
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
}

impl Default for SubmissionBudget {
    /// Returns a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Drop for HeldSubmission {
    fn drop(&mut self) {
        let held = &self.budget.held;
        held.set(held.get().saturating_sub(self.bytes));
    }
}
