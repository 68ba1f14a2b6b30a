//! Checks the invariants of a scenario from the outcomes that callers observed and the requests
//! that upstreams ran.

use {
    super::test_cluster::TestCluster,
    limpetquay::{
        prelude::*,
        request::{CallerRequest, Outcome},
    },
    std::collections::BTreeMap,
};

/// One request with the outcome that its caller observed.
pub struct Observation {
    pub req: CallerRequest,
    /// The outcome; `None` if the entry was killed first.
    pub outcome: Option<Outcome>,
}

/// Checks all requests of a scenario.
#[derive(Default)]
pub struct OutcomeChecker {
    pub observations: Vec<Observation>,
}

impl OutcomeChecker {
    /// Checks a scenario in which every request has ended.
    pub fn check(
        &self,
        cluster: &TestCluster,
    ) -> Result<(), String> {
        let runs = cluster.runs.borrow();
        let mut runs_of_key: BTreeMap<(AccountName, Arc<str>), usize> = BTreeMap::new();
        for observation in &self.observations {
            let ran = runs.get(&observation.req.id).map_or(0, Vec::len);
            check_request(observation, ran)?;
            if let Some(key) = &observation.req.idempotency_key
                && !observation.req.kind.idempotent
            {
                let key = (observation.req.account.clone(), key.clone());
                *runs_of_key.entry(key).or_default() += ran;
            }
        }
        for (key, ran) in runs_of_key {
            if ran > 1 {
                return Err(format!("key {key:?} was run {ran} times"));
            }
        }
        check_rest(cluster)
    }
}

fn check_request(
    observation: &Observation,
    ran: usize,
) -> Result<(), String> {
    let Observation { req, outcome } = observation;
    if !req.kind.idempotent && ran > 1 {
        return Err(format!(
            "{} is not idempotent and was run {ran} times",
            req.id
        ));
    }
    match outcome {
        Some(Outcome::NotRun(reason)) if ran > 0 => {
            Err(format!("{} was run, but reported: {reason}", req.id))
        }
        Some(Outcome::Conflict(conflict)) if ran > 0 => {
            Err(format!("{} was run, but reported: {conflict}", req.id))
        }
        Some(Outcome::Answered { status: 200, body }) => {
            let expected = [b"answer to ", &req.body[..]].concat();
            if *body == expected {
                return Ok(());
            }
            Err(format!(
                "{} received the answer to another request: {body:?}",
                req.id
            ))
        }
        _ => Ok(()),
    }
}

/// Checks that no request is left in progress and no upstream ran more requests than it has slots.
fn check_rest(cluster: &TestCluster) -> Result<(), String> {
    for upstream in &cluster.upstreams {
        let most = upstream.worker.peak_running.get();
        if most > upstream.slots {
            return Err(format!("{} ran {most} at once", upstream.worker.name));
        }
    }
    for running in cluster.entries.borrow().iter() {
        let admission = &running.entry.admission;
        if admission.queued() > 0 || admission.in_flight() > 0 {
            return Err("an entry still counts requests in progress".into());
        }
    }
    Ok(())
}
