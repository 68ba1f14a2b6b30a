//! Keeps new work away from the workers of evacuated data centres.

use {
    super::{Scheduler, UpstreamState, outcome::MemberEnd},
    crate::{
        connection::{RunStart, StartRefusal},
        prelude::*,
    },
    std::collections::BTreeSet,
};

impl Scheduler {
    /// Sets the data centres in which nothing is started, or `None` while they are not known, so
    /// that nothing is started anywhere.
    pub fn set_evacuated(
        &mut self,
        evacuated: Option<Rc<BTreeSet<DataCentre>>>,
    ) {
        if evacuated.is_some() != self.knows_evacuations {
            self.knows_evacuations = evacuated.is_some();
            let is_known = self.knows_evacuations;
            tracing::info!(
                term = self.term,
                is_known,
                "knowledge of the evacuations changed; without it nothing is started"
            );
        }
        let Some(evacuated) = evacuated.filter(|new| *new != self.evacuated) else {
            return;
        };
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        for name in self.evacuated.difference(&before) {
            tracing::info!(term = self.term, data_centre = %name, runs = self.runs_in(name), "evacuation in force");
        }
        for name in before.difference(&self.evacuated) {
            tracing::info!(term = self.term, data_centre = %name, runs = self.runs_in(name), "evacuation over");
        }
    }

    /// Returns the evacuated data centres, each with the number of runs that are still there.
    pub fn evacuated_runs(&self) -> Vec<(&DataCentre, usize)> {
        let names = self.evacuated.iter();
        names.map(|name| (name, self.runs_in(name))).collect()
    }

    /// Returns whether nothing may be started on a worker because its data centre is evacuated. A
    /// worker whose data centre is unknown may be in any of them.
    pub(super) fn is_evacuated(
        &self,
        upstream: &UpstreamState,
    ) -> bool {
        let is_included = |name: &DataCentre| self.evacuated.contains(name);
        !self.evacuated.is_empty() && upstream.data_centre.as_ref().is_none_or(is_included)
    }

    /// Withdraws the starts on workers of evacuated data centres that are not sent yet, so that
    /// their units start elsewhere.
    pub(super) fn withdraw_unsent_starts(&mut self) {
        let evacuated = self.upstreams.iter().filter(|(_, u)| self.is_evacuated(u));
        let evacuated: Vec<UpstreamName> = evacuated.map(|(name, _)| name.clone()).collect();
        for name in evacuated {
            let orders = self.pending_orders.get_mut(&name);
            let starts = orders.map(|o| std::mem::take(&mut o.starts));
            for start in starts.unwrap_or_default() {
                self.withdraw_start(&name, &start);
            }
        }
    }

    fn withdraw_start(
        &mut self,
        name: &UpstreamName,
        start: &RunStart,
    ) {
        let upstream = self.upstreams.get_mut(name);
        let Some(placed) = upstream.and_then(|u| u.runs.remove(&start.run)) else {
            return;
        };
        self.counts.count("withdrawn");
        tracing::info!(run = %start.run, upstream = %name, "start withdrawn: the data centre is evacuated");
        if let Some((id, unit)) = placed.unit {
            let end = MemberEnd::Refused(StartRefusal::NotReached);
            self.handle_member_end(id, unit, start.run, end);
        }
    }

    fn runs_in(
        &self,
        data_centre: &DataCentre,
    ) -> usize {
        let upstreams = self.upstreams.values();
        let own = upstreams.filter(|u| u.data_centre.as_ref() == Some(data_centre));
        own.map(|u| u.runs.len()).sum()
    }
}
