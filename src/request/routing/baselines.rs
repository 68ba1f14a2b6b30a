//! Simple routing policies that serve as baselines for measurements.

use {
    super::{
        LoadSource, RoutingDecision, RoutingPolicy, RoutingRequest, eligible::ineligible_reason,
    },
    crate::{prelude::*, process::membership::Announcement},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::cell::Cell,
};

/// Chooses an eligible upstream at random, regardless of its location.
#[derive(Debug)]
pub struct RandomRouting {
    rng: RefCell<StdRng>,
}

impl RandomRouting {
    /// Creates the policy; the same seed gives the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }
}

/// Chooses the eligible upstreams in turn, regardless of their location.
#[derive(Debug, Default)]
pub struct RoundRobinRouting {
    next: Cell<usize>,
}

/// Chooses the eligible upstream with the fewest slots in use, regardless of its location.
#[derive(Debug, Default)]
pub struct LeastConnectionsRouting;

fn eligible<'a>(
    req: &RoutingRequest,
    upstreams: &'a [Rc<Announcement>],
    loads: &dyn LoadSource,
) -> Vec<&'a Rc<Announcement>> {
    let is_eligible =
        |u: &&Rc<Announcement>| ineligible_reason(req, u, &loads.load_of(u)).is_none();
    upstreams.iter().filter(is_eligible).collect()
}

fn decide(chosen: Option<&Rc<Announcement>>) -> RoutingDecision {
    RoutingDecision {
        chosen: chosen.map(|u| u.upstream.clone()),
        passed_over: Vec::new(),
    }
}

impl RoutingPolicy for RandomRouting {
    fn choose(
        &self,
        req: &RoutingRequest,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision {
        let eligible = eligible(req, upstreams, loads);
        if eligible.is_empty() {
            return RoutingDecision::default();
        }
        let index = self.rng.borrow_mut().random_range(0..eligible.len());
        decide(eligible.get(index).copied())
    }
}

impl RoutingPolicy for RoundRobinRouting {
    fn choose(
        &self,
        req: &RoutingRequest,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision {
        let eligible = eligible(req, upstreams, loads);
        let next = self.next.get();
        self.next.set(next.wrapping_add(1));
        decide(eligible.get(next % eligible.len().max(1)).copied())
    }
}

impl RoutingPolicy for LeastConnectionsRouting {
    fn choose(
        &self,
        req: &RoutingRequest,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision {
        let eligible = eligible(req, upstreams, loads);
        let in_use = |u: &&&Rc<Announcement>| loads.load_of(u).slots_in_use;
        decide(eligible.iter().min_by_key(in_use).copied())
    }
}
