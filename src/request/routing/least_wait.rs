//! The routing policy of least expected wait.

use {
    super::{
        LoadSource, RoutingDecision, RoutingPolicy, RoutingRequest, UpstreamLoad,
        eligible::{ineligible_reason, is_eligible_or_full},
    },
    crate::{prelude::*, process::membership::Announcement},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
};

/// The added time of leaving the data centre, both ways, in milliseconds.
const CROSS_DATA_CENTRE_MS: f64 = 2.0;

/// The added time of leaving the region, both ways, in milliseconds.
const CROSS_REGION_MS: f64 = 40.0;

/// How many upstreams of each distance are drawn before all are looked at.
const SAMPLE_SIZE: usize = 3;

/// The most upstreams of one distance that are all looked at.
const MAX_FULL_SCAN: usize = 16;

/// How far an upstream is from the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Locality {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// Looks at the upstreams in random order, or at a few drawn ones where there are many, and takes
/// the one with the least expected time: the own data centre before the own region, and another
/// region only when no slot is free in the own and the wait saved is worth the bytes. Drawing,
/// after Mitzenmacher's power of two choices (2001), keeps entries with the same old announcements
/// from all choosing the same upstream.
#[derive(Debug)]
pub struct LeastWaitRouting {
    rng: RefCell<StdRng>,
}

impl LeastWaitRouting {
    /// Creates the policy; the same seed gives the same draws.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Draws from the upstreams at one distance, and looks at all when no drawn one is eligible.
    fn choose_in(
        &self,
        ask: &RoutingRequest,
        upstreams: &[&Rc<Announcement>],
        loads: &dyn LoadSource,
        decision: &mut RoutingDecision,
    ) -> Option<Candidate> {
        let drawn: Vec<&Rc<Announcement>> = self.draw(upstreams);
        let best = least_cost(ask, &drawn, loads, decision);
        best.or_else(|| least_cost(ask, upstreams, loads, &mut RoutingDecision::default()))
    }

    fn draw<'a>(
        &self,
        upstreams: &[&'a Rc<Announcement>],
    ) -> Vec<&'a Rc<Announcement>> {
        let mut rng = self.rng.borrow_mut();
        if upstreams.len() <= MAX_FULL_SCAN {
            let mut all = upstreams.to_vec();
            all.shuffle(&mut *rng);
            return all;
        }
        let draws = (0..SAMPLE_SIZE).map(|_| upstreams[rng.random_range(0..upstreams.len())]);
        draws.collect()
    }
}

/// An eligible upstream with its expected time, in milliseconds.
struct Candidate {
    upstream: UpstreamName,
    cost_ms: f64,
    slowness: f64,
}

impl RoutingPolicy for LeastWaitRouting {
    fn choose(
        &self,
        ask: &RoutingRequest,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision {
        let mut decision = RoutingDecision::default();
        let at = |distance| -> Vec<&Rc<Announcement>> {
            let near = |u: &&Rc<Announcement>| locality_of(ask, u) == distance;
            upstreams.iter().filter(near).collect()
        };
        let own = self.choose_in(ask, &at(Locality::SameDataCentre), loads, &mut decision);
        let region = self.choose_in(ask, &at(Locality::SameRegion), loads, &mut decision);
        let mut best = cheaper(own, region, &mut decision);
        if let Some(slow) = best.take_if(|c| c.slowness > 1.0) {
            best = replace_slow(ask, upstreams, loads, slow, &mut decision);
            if best.is_none() {
                return decision;
            }
        }
        if best.is_none() {
            let elsewhere = at(Locality::OtherRegion);
            if is_crossing_worthwhile(ask) || !own_region_can_serve(ask, upstreams, loads) {
                best = self.choose_in(ask, &elsewhere, loads, &mut decision);
            } else if let Some(first) = elsewhere.first() {
                decision
                    .record_passed_over(&first.upstream, "wait saved is below the link's price");
            }
        }
        decision.chosen = best.map(|c| c.upstream);
        decision
    }
}

/// Returns the candidate with the lower cost and notes the other one.
fn cheaper(
    a: Option<Candidate>,
    b: Option<Candidate>,
    decision: &mut RoutingDecision,
) -> Option<Candidate> {
    let (Some(a), Some(b)) = (&a, &b) else {
        return a.or(b);
    };
    let (best, other) = if a.cost_ms <= b.cost_ms {
        (a, b)
    } else {
        (b, a)
    };
    decision.record_passed_over(&other.upstream, "longer expected time");
    Some(Candidate {
        upstream: best.upstream.clone(),
        cost_ms: best.cost_ms,
        slowness: best.slowness,
    })
}

/// Returns a fast upstream of the own region in place of a slow one. When none has a free slot,
/// waiting for one goes before the slow one, as long as that costs the queue less.
fn replace_slow(
    ask: &RoutingRequest,
    upstreams: &[Rc<Announcement>],
    loads: &dyn LoadSource,
    slow: Candidate,
    decision: &mut RoutingDecision,
) -> Option<Candidate> {
    let is_fast =
        |u: &&Rc<Announcement>| u.region == ask.region && loads.load_of(u).slowness <= 1.0;
    let fast: Vec<&Rc<Announcement>> = upstreams.iter().filter(is_fast).collect();
    let best = least_cost(ask, &fast, loads, &mut RoutingDecision::default());
    if best.is_some() {
        decision.record_passed_over(&slow.upstream, "slower than its peers");
        return best;
    }
    let added_ms = (slow.slowness - 1.0) * ask.run_ms;
    let is_worth_waiting = added_ms > ask.wait_saved_ms;
    if is_worth_waiting
        && fast
            .iter()
            .any(|u| is_eligible_or_full(ask, u, &loads.load_of(u)))
    {
        decision.record_passed_over(&slow.upstream, "slower than waiting for its peers");
        return None;
    }
    Some(slow)
}

/// Tells whether an upstream of the own region will take the request once a slot is free.
fn own_region_can_serve(
    ask: &RoutingRequest,
    upstreams: &[Rc<Announcement>],
    loads: &dyn LoadSource,
) -> bool {
    let mut home = upstreams.iter().filter(|u| u.region == ask.region);
    home.any(|u| is_eligible_or_full(ask, u, &loads.load_of(u)))
}

/// Tells whether the wait that all queued requests are spared is worth the way and the bytes.
fn is_crossing_worthwhile(ask: &RoutingRequest) -> bool {
    let kib = ask.body_bytes as f64 / 1024.0;
    ask.wait_saved_ms > CROSS_REGION_MS + kib * ask.link_price_ms_per_kib
}

fn least_cost(
    ask: &RoutingRequest,
    upstreams: &[&Rc<Announcement>],
    loads: &dyn LoadSource,
    decision: &mut RoutingDecision,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    for upstream in upstreams {
        let load = loads.load_of(upstream);
        if let Some(reason) = ineligible_reason(ask, upstream, &load) {
            decision.record_passed_over(&upstream.upstream, reason);
            continue;
        }
        let cost_ms = expected_cost_ms(ask, upstream, &load);
        let candidate = Candidate {
            upstream: upstream.upstream.clone(),
            cost_ms,
            slowness: load.slowness,
        };
        best = match best.take() {
            Some(least) if least.cost_ms <= cost_ms => {
                decision.record_passed_over(&upstream.upstream, "longer expected time");
                Some(least)
            }
            Some(previous) => {
                decision.record_passed_over(&previous.upstream, "longer expected time");
                Some(candidate)
            }
            None => Some(candidate),
        };
    }
    best
}

fn locality_of(
    ask: &RoutingRequest,
    upstream: &Announcement,
) -> Locality {
    if upstream.region != ask.region {
        Locality::OtherRegion
    } else if upstream.data_centre != ask.data_centre {
        Locality::SameRegion
    } else {
        Locality::SameDataCentre
    }
}

/// Returns the expected run time, longer the fuller and slower the upstream, and the way there.
fn expected_cost_ms(
    ask: &RoutingRequest,
    upstream: &Announcement,
    load: &UpstreamLoad,
) -> f64 {
    let busy = f64::from(load.slots_in_use) / f64::from(upstream.slots.max(1));
    let run_ms = ask.run_ms * load.slowness * (1.0 + busy);
    match locality_of(ask, upstream) {
        Locality::SameDataCentre => run_ms,
        Locality::SameRegion => run_ms + CROSS_DATA_CENTRE_MS,
        Locality::OtherRegion => run_ms + CROSS_REGION_MS,
    }
}
