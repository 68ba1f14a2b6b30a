//! Chooses what to stop for work that comes first.

use {
    super::{Host, PlaceRequest, PlaceRules},
    crate::{
        prelude::*,
        request::{Resources, StepJobId, UnitId},
    },
    std::collections::BTreeMap,
};

/// A unit that may be stopped.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The job and unit.
    pub unit: (StepJobId, UnitId),
    /// The work that is lost with it, in thousandths of a core times seconds.
    pub loss: u64,
    /// What it frees on each worker.
    pub frees: BTreeMap<UpstreamName, Resources>,
}

/// Returns the units to stop so that a unit can be placed, and where it then goes. Victims are
/// taken in the order of their loss until the unit fits, and those that turn out needless are
/// spared. It answers bursts of urgent work whose account is guaranteed
/// accelerators that others use.
pub fn choose_victims(
    rules: &dyn PlaceRules,
    req: &PlaceRequest<'_>,
    hosts: &[Host],
    victims: &[Victim],
) -> Option<(Vec<Victim>, Vec<UpstreamName>)> {
    let mut order: Vec<&Victim> = victims.iter().collect();
    order.sort_by_key(|v| (v.loss, v.unit));
    let mut chosen: Vec<&Victim> = Vec::new();
    for victim in order {
        chosen.push(victim);
        if rules.place(req, &after(hosts, &chosen)).is_some() {
            break;
        }
    }
    let mut i = 0;
    while i < chosen.len() {
        let mut fewer = chosen.clone();
        fewer.remove(i);
        if rules.place(req, &after(hosts, &fewer)).is_some() {
            chosen = fewer;
        } else {
            i += 1;
        }
    }
    let placed = rules.place(req, &after(hosts, &chosen))?;
    Some((chosen.into_iter().cloned().collect(), placed))
}

/// Returns the hosts as they are once the victims are gone.
fn after(
    hosts: &[Host],
    victims: &[&Victim],
) -> Vec<Host> {
    let mut hosts = hosts.to_vec();
    for host in &mut hosts {
        for victim in victims {
            if let Some(freed) = victim.frees.get(&host.upstream) {
                host.room += *freed;
            }
        }
    }
    hosts
}
