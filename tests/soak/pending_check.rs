//! Compares the number of pending jobs that each entry returns with the starts at the workers.

use {
    super::{callers::Callers, fleet::Fleet, node::Role, proxy::LinkState},
    limpetquay::{platform::stand_in::StoreFaults, prelude::*},
    serde::Deserialize,
};

/// How often the entries are observed for faults, some of which last 100 ms only.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

/// The number of observations from one question to the next.
const OBSERVATIONS_PER_QUESTION: usize = 10;

/// How long before a question a job was accepted that has to be counted.
const MIN_ACCEPTED_AGE: Duration = Duration::from_millis(5000);

/// How long an entry and its way to the store must have been without faults: a call that is cut off
/// takes up to 1.7 s, and the number may be 2 s old.
const SETTLING_TIME: Duration = Duration::from_millis(3700);

/// The time limit of a question.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);

/// The answer of an entry.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct PendingAnswer {
    pending: usize,
}

/// Asks all entries for their number of pending jobs until the scenario ends.
pub async fn check_pending_jobs(
    fleet: Rc<Fleet>,
    callers: Rc<Callers>,
) {
    let entries = fleet.nodes_of_role(Role::Entry);
    let mut disturbed_at = vec![fleet.clock.now(); fleet.nodes.len()];
    loop {
        for _ in 0..OBSERVATIONS_PER_QUESTION {
            compio::time::sleep(OBSERVATION_INTERVAL).await;
            for entry in &entries {
                if is_disturbed(&fleet, *entry) {
                    disturbed_at[*entry] = fleet.clock.now();
                }
            }
        }
        for entry in &entries {
            if fleet.clock.now().since(disturbed_at[*entry]) >= SETTLING_TIME {
                check_entry(&fleet, &callers, *entry).await;
            }
        }
    }
}

fn is_disturbed(
    fleet: &Fleet,
    entry: usize,
) -> bool {
    let node = &fleet.nodes[entry];
    let undisturbed_time = fleet.clock.now().since(node.undisturbed_since.get());
    undisturbed_time < SETTLING_TIME
        || node.store_link.state() != LinkState::Open
        || fleet.store.faults() != StoreFaults::default()
}

/// Checks that an entry counts at least half of the jobs that were accepted some time before and of
/// which no subtask has started on any worker.
async fn check_entry(
    fleet: &Fleet,
    callers: &Callers,
    entry: usize,
) {
    let node = &fleet.nodes[entry];
    let asked_at = fleet.clock.now();
    let url = format!("http://{}:8521/q/", node.ip);
    let headers = [("host", "a.example"), ("credential", "key")];
    let call = fleet.client.call(
        hyper::Method::GET,
        &url,
        &headers,
        Bytes::new(),
        ANSWER_TIMEOUT,
    );
    // Whether entries answer is checked with the calls about jobs.
    let Ok(answer) = call.await else { return };
    if answer.status != 200 || is_disturbed(fleet, entry) {
        return;
    }
    let Ok(PendingAnswer { pending }) = serde_json::from_slice(&answer.body) else {
        fleet.record_violation(format!(
            "{}: the number of pending jobs is malformed: {:?}",
            node.name, answer.body
        ));
        return;
    };
    fleet.observe_workers();
    let mut waiting = callers.accepted_for(MIN_ACCEPTED_AGE, asked_at);
    waiting.retain(|id| !fleet.has_started(id));
    if !waiting.is_empty() {
        let counted = &fleet.pending_comparisons;
        counted.set(counted.get() + 1);
    }
    if pending * 2 < waiting.len() {
        fleet.record_violation(format!(
            "{}: {pending} jobs are pending, but none of the subtasks of {} jobs has started: {waiting:?}",
            node.name,
            waiting.len()
        ));
    }
}
