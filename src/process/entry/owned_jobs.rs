//! Runs the jobs that this incarnation of the entry owns.

use {
    super::Entry,
    crate::{
        prelude::*,
        process::{state::JobState, task_group::TaskGroup},
        request::run_job,
    },
    std::collections::BTreeSet,
};

/// Starts a task for each open job that this incarnation of the entry owns; never returns. The
/// tasks are cancelled when this future is dropped.
pub async fn run_owned_jobs(entry: Rc<Entry>) {
    let tasks = TaskGroup::default();
    let mut running = BTreeSet::new();
    loop {
        let changed = entry.state.change_listener();
        let owned = owned_jobs(&entry);
        let now_owned: BTreeSet<(JobId, u32)> =
            owned.iter().map(|j| (j.spec.id, j.ownership)).collect();
        for job in owned {
            if !running.contains(&(job.spec.id, job.ownership)) {
                let spec = (*job.spec).clone();
                tasks.spawn(run_job(entry.clone(), spec, job.ownership));
            }
        }
        running = now_owned;
        changed.await;
    }
}

fn owned_jobs(entry: &Entry) -> Vec<JobState> {
    let fold = entry.state.fold();
    let owned = fold.jobs().filter(|j| {
        j.is_open() && j.owner == entry.settings.name && j.owner_epoch == entry.state.epoch()
    });
    owned.cloned().collect()
}
