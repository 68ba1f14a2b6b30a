//! Chooses the workers of one start of a gang.

use {
    super::Start,
    crate::{
        prelude::*,
        request::job::{FleetView, PlacementAsk, PlacementDecision, ShapeMix},
        version::Fleet,
    },
};

impl Start<'_> {
    /// Has the placement policy choose, and logs its decision.
    pub(super) fn place(&self) -> PlacementDecision {
        let document = self.entry.document();
        let ask = PlacementAsk {
            account: self.spec.account.clone(),
            gang: self.kind.gang,
            class: self.kind.class,
            evictable: self.kind.is_evictable(),
            waited: 0.0,
            may_hold: false,
            completion_weight: document.completion_weight,
            fragmentation_weight: document.fragmentation_weight,
            mix: Rc::new(ShapeMix::of(&document)),
        };
        let upstreams = self.entry.members.borrow().live(self.entry.clock.now());
        let workers = upstreams.iter().map(|u| u.fleet_worker()).collect();
        let view = FleetView {
            fleet: Rc::new(Fleet::new(workers)),
            rooms: upstreams.iter().map(|u| u.room()).collect(),
        };
        let decision = self.entry.placement.place(&ask, &view);
        let members: Vec<&str> = decision.members.iter().map(UpstreamName::as_str).collect();
        tracing::info!(
            target: "decision",
            decision = "placement",
            job = %self.spec.id,
            term = %self.term,
            account = %self.spec.account,
            kind = %self.kind.name,
            gang = %self.kind.gang,
            chosen = %members.join(","),
            passed_over = %serde_json::to_string(&decision.passed_over).unwrap_or_default(),
        );
        decision
    }
}
