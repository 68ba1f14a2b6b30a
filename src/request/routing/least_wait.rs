//! The routing policy of least expected wait.

use {
    super::{
        LoadSource, RoutingDecision, RoutingPolicy, RoutingRequest, UpstreamLoad,
        eligible::{ineligible_reason, is_eligible_or_full},
    },
    crate::{prelude::*, process::membership::Announcement},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
};

/// Added round-trip time to another data centre of the region, in milliseconds.
const CROSS_DATA_CENTRE_MS: f64 = 2.0;

/// Added round-trip time to another region, in milliseconds.
const CROSS_REGION_MS: f64 = 40.0;

/// Number of upstreams of each locality that are sampled before all are compared.
const SAMPLE_SIZE: usize = 3;

/// Largest number of upstreams of one locality that are compared without sampling.
const MAX_FULL_SCAN: usize = 16;

/// Location of an upstream relative to the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Locality {
    SameDataCentre,
    SameRegion,
    OtherRegion,
}

/// Chooses the upstream with the least expected time, among all in random order or, where there are
/// many, among a random sample. The entry's own region goes before others: another region is used
/// only if no slot is free in the own one and either the wait saved is worth the bytes or no
/// upstream of the own region can serve the request. Sampling, after Mitzenmacher's power of two
/// choices (2001), keeps entries with the same old announcements from all choosing the same
/// upstream.
#[derive(Debug)]
pub struct LeastWaitRouting {
    rng: RefCell<StdRng>,
}

impl LeastWaitRouting {
    /// Creates the policy; the same seed gives the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Chooses among a sample of the upstreams of one locality, or among all of them if no sampled
    /// one is eligible.
    fn choose_in(
        &self,
        req: &RoutingRequest,
        upstreams: &[&Rc<Announcement>],
        loads: &dyn LoadSource,
        decision: &mut RoutingDecision,
    ) -> Option<Candidate> {
        let sampled: Vec<&Rc<Announcement>> = self.sample(upstreams);
        let best = least_cost(req, &sampled, loads, decision);
        best.or_else(|| least_cost(req, upstreams, loads, &mut RoutingDecision::default()))
    }

    fn sample<'a>(
        &self,
        upstreams: &[&'a Rc<Announcement>],
    ) -> Vec<&'a Rc<Announcement>> {
        let mut rng = self.rng.borrow_mut();
        if upstreams.len() <= MAX_FULL_SCAN {
            let mut all = upstreams.to_vec();
            all.shuffle(&mut *rng);
            return all;
        }
        let sample = (0..SAMPLE_SIZE).map(|_| upstreams[rng.random_range(0..upstreams.len())]);
        sample.collect()
    }
}

/// An eligible upstream with its expected cost.
struct Candidate {
    upstream: UpstreamName,
    cost_ms: f64,
    slowness: f64,
}

impl RoutingPolicy for LeastWaitRouting {
    fn choose(
        &self,
        req: &RoutingRequest,
        upstreams: &[Rc<Announcement>],
        loads: &dyn LoadSource,
    ) -> RoutingDecision {
        let mut decision = RoutingDecision::default();
        let upstreams_in = |locality| -> Vec<&Rc<Announcement>> {
            let is_in_locality = |u: &&Rc<Announcement>| locality_of(req, u) == locality;
            upstreams.iter().filter(is_in_locality).collect()
        };
        let same_data_centre = self.choose_in(
            req,
            &upstreams_in(Locality::SameDataCentre),
            loads,
            &mut decision,
        );
        let same_region = self.choose_in(
            req,
            &upstreams_in(Locality::SameRegion),
            loads,
            &mut decision,
        );
        let mut best = cheaper(same_data_centre, same_region, &mut decision);
        if let Some(slow) = best.take_if(|c| c.slowness > 1.0) {
            best = replace_slow(req, upstreams, loads, slow, &mut decision);
            if best.is_none() {
                return decision;
            }
        }
        if best.is_none() {
            let remote = upstreams_in(Locality::OtherRegion);
            if is_crossing_worthwhile(req) || !own_region_can_serve(req, upstreams, loads) {
                best = self.choose_in(req, &remote, loads, &mut decision);
            } else if let Some(first) = remote.first() {
                decision
                    .record_passed_over(&first.upstream, "wait saved is below the link's price");
            }
        }
        decision.chosen = best.map(|c| c.upstream);
        decision
    }
}

/// Returns the candidate with the lower cost and records the other one as passed over.
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

/// Replaces a slow upstream by a fast one of the entry's region. If no fast one has a free slot,
/// returns `None` to wait for one, as long as that costs the queue less than the slow upstream.
fn replace_slow(
    req: &RoutingRequest,
    upstreams: &[Rc<Announcement>],
    loads: &dyn LoadSource,
    slow: Candidate,
    decision: &mut RoutingDecision,
) -> Option<Candidate> {
    let is_fast =
        |u: &&Rc<Announcement>| u.region == req.region && loads.load_of(u).slowness <= 1.0;
    let fast: Vec<&Rc<Announcement>> = upstreams.iter().filter(is_fast).collect();
    let best = least_cost(req, &fast, loads, &mut RoutingDecision::default());
    if best.is_some() {
        decision.record_passed_over(&slow.upstream, "slower than its peers");
        return best;
    }
    let added_ms = (slow.slowness - 1.0) * req.run_ms;
    let is_worth_waiting = added_ms > req.wait_saved_ms;
    if is_worth_waiting
        && fast
            .iter()
            .any(|u| is_eligible_or_full(req, u, &loads.load_of(u)))
    {
        decision.record_passed_over(&slow.upstream, "slower than waiting for its peers");
        return None;
    }
    Some(slow)
}

/// Returns whether an upstream of the entry's region can take the request once a slot is free.
fn own_region_can_serve(
    req: &RoutingRequest,
    upstreams: &[Rc<Announcement>],
    loads: &dyn LoadSource,
) -> bool {
    let mut own_region = upstreams.iter().filter(|u| u.region == req.region);
    own_region.any(|u| is_eligible_or_full(req, u, &loads.load_of(u)))
}

/// Returns whether the wait saved for all queued requests exceeds the round-trip time to another
/// region and the price of the bytes sent there.
fn is_crossing_worthwhile(req: &RoutingRequest) -> bool {
    let kib = req.body_bytes as f64 / 1024.0;
    req.wait_saved_ms > CROSS_REGION_MS + kib * req.link_price_ms_per_kib
}

fn least_cost(
    req: &RoutingRequest,
    upstreams: &[&Rc<Announcement>],
    loads: &dyn LoadSource,
    decision: &mut RoutingDecision,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    for upstream in upstreams {
        let load = loads.load_of(upstream);
        if let Some(reason) = ineligible_reason(req, upstream, &load) {
            decision.record_passed_over(&upstream.upstream, reason);
            continue;
        }
        let cost_ms = expected_cost_ms(req, upstream, &load);
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
    req: &RoutingRequest,
    upstream: &Announcement,
) -> Locality {
    if upstream.region != req.region {
        Locality::OtherRegion
    } else if upstream.data_centre != req.data_centre {
        Locality::SameRegion
    } else {
        Locality::SameDataCentre
    }
}

/// Returns the expected run time, which grows with the load and slowness of the upstream, plus the
/// added round-trip time.
fn expected_cost_ms(
    req: &RoutingRequest,
    upstream: &Announcement,
    load: &UpstreamLoad,
) -> f64 {
    let utilisation = f64::from(load.slots_in_use) / f64::from(upstream.slots.max(1));
    let run_ms = req.run_ms * load.slowness * (1.0 + utilisation);
    match locality_of(req, upstream) {
        Locality::SameDataCentre => run_ms,
        Locality::SameRegion => run_ms + CROSS_DATA_CENTRE_MS,
        Locality::OtherRegion => run_ms + CROSS_REGION_MS,
    }
}
