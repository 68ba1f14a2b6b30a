//! What must hold of every run, told from what callers were told and what upstreams have run.

use {
    super::world::World,
    limpetquay::{
        prelude::*,
        request::{CallerRequest, Outcome},
    },
    std::collections::BTreeMap,
};

/// One request as its caller saw it.
pub struct Told {
    pub req: CallerRequest,
    /// The outcome; `None` when the entry died first.
    pub outcome: Option<Outcome>,
}

/// All requests of a run.
#[derive(Default)]
pub struct Oracle {
    pub told: Vec<Told>,
}

impl Oracle {
    /// Checks a run that has come to rest.
    pub fn check(
        &self,
        world: &World,
    ) -> Result<(), String> {
        let runs = world.runs.borrow();
        let mut runs_of_key: BTreeMap<(AccountName, Arc<str>), usize> = BTreeMap::new();
        for told in &self.told {
            let ran = runs.get(&told.req.id).map_or(0, Vec::len);
            check_request(told, ran)?;
            if let Some(key) = &told.req.idempotency_key
                && !told.req.kind.idempotent
            {
                let key = (told.req.account.clone(), key.clone());
                *runs_of_key.entry(key).or_default() += ran;
            }
        }
        for (key, ran) in runs_of_key {
            if ran > 1 {
                return Err(format!("key {key:?} was run {ran} times"));
            }
        }
        check_rest(world)
    }
}

fn check_request(
    told: &Told,
    ran: usize,
) -> Result<(), String> {
    let Told { req, outcome } = told;
    if !req.kind.idempotent && ran > 1 {
        return Err(format!(
            "{} is not idempotent and was run {ran} times",
            req.id
        ));
    }
    match outcome {
        Some(Outcome::NotRun(reason)) if ran > 0 => {
            Err(format!("{} was run, but told: {reason}", req.id))
        }
        Some(Outcome::Conflict(conflict)) if ran > 0 => {
            Err(format!("{} was run, but told: {conflict}", req.id))
        }
        Some(Outcome::Answered { status: 200, body }) => {
            let expected = [b"answer to ", &req.body[..]].concat();
            if *body == expected {
                return Ok(());
            }
            Err(format!("{} got another's answer {body:?}", req.id))
        }
        _ => Ok(()),
    }
}

/// Checks that nothing is left in progress and no limit was passed.
fn check_rest(world: &World) -> Result<(), String> {
    for site in &world.sites {
        let most = site.worker.most_running.get();
        if most > site.slots {
            return Err(format!("{} ran {most} at once", site.worker.name));
        }
    }
    for live in world.entries.borrow().iter() {
        let admission = &live.entry.admission;
        if admission.queued() > 0 || admission.in_flight() > 0 {
            return Err("an entry still counts requests in progress".into());
        }
    }
    Ok(())
}
